"""Run every benchmark and write `build/bench.json`.

Exits with 1 when a figure is outside its bound.
"""

import importlib
import json
import pathlib
import pkgutil
import sys

import bench
from bench import result

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / 'build' / 'bench.json'


def _run_all(names: list[str]) -> list[result.Result]:
    results = []
    for module_info in pkgutil.iter_modules(bench.__path__):
        if names and module_info.name not in names:
            continue
        module = importlib.import_module(f'bench.{module_info.name}')
        if hasattr(module, 'run'):
            sys.stdout.write(f'{module_info.name}\n')
            found = module.run()
            results.extend(found)
            for figure in found:
                _show(figure)
    return results


def _show(figure: result.Result) -> None:
    verdict = 'ok' if figure.holds else 'FAILS'
    bound = (
        '' if figure.bound is None else f' {figure.direction} {figure.bound:g}'
    )
    sys.stdout.write(
        f'  {verdict:5} {figure.name} = {figure.value:.4g}'
        f' {figure.unit}{bound} ({figure.baseline})\n'
    )


def main(names: list[str]) -> int:
    """Run the named benchmarks, or all of them."""
    results = _run_all(names)
    OUTPUT.parent.mkdir(exist_ok=True)
    rows = [{**figure._asdict(), 'holds': figure.holds} for figure in results]
    OUTPUT.write_text(json.dumps(rows, indent=2))
    return int(not all(figure.holds for figure in results))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
