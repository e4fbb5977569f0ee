"""Generate `cardamomflow/generated` and pages of the docs.

With `--check`, fail if the committed files differ from newly generated ones.
"""

import argparse
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

from tools import reference

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / 'schema'
TARGET = ROOT / 'cardamomflow' / 'generated'
DOCUMENTS = ('settings', 'register', 'rules')


def _generate_messages(target: pathlib.Path) -> None:
    sources = sorted(str(path) for path in SCHEMA.glob('*.proto'))
    subprocess.run(
        [
            sys.executable,
            '-m',
            'grpc_tools.protoc',
            f'--proto_path={SCHEMA}',
            f'--python_out={target}',
            f'--pyi_out={target}',
            *sources,
        ],
        check=True,
    )


def _generate_documents(target: pathlib.Path) -> None:
    for name in DOCUMENTS:
        source = SCHEMA / f'{name}.json'
        output = target / f'{name}_documents.py'
        subprocess.run(
            [
                sys.executable,
                # The generator warns of coming changes to its defaults.
                '-W',
                'ignore::FutureWarning',
                '-m',
                'datamodel_code_generator',
                '--input',
                str(source),
                '--input-file-type',
                'jsonschema',
                '--output-model-type',
                'typing.TypedDict',
                '--target-python-version',
                '3.11',
                '--disable-timestamp',
                '--output',
                str(output),
            ],
            check=True,
        )
        shutil.copy(source, target / source.name)


def generate(target: pathlib.Path) -> None:
    """Write the generated modules into a folder."""
    _generate_messages(target)
    _generate_documents(target)


def _collapse_whitespace(text: str) -> str:
    return re.sub(r'\s+', ' ', text)


def differing_files(fresh_folder: pathlib.Path) -> list[str]:
    """Return the names of files that differ from the committed ones.

    Differences in whitespace are ignored.
    """
    return [
        path.name
        for path in sorted(fresh_folder.iterdir())
        if not (TARGET / path.name).exists()
        or _collapse_whitespace(path.read_text())
        != _collapse_whitespace((TARGET / path.name).read_text())
    ]


def main() -> int:
    """Generate, or check the committed files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    if not parser.parse_args().check:
        generate(TARGET)
        for name, page in reference.pages().items():
            (reference.DOCS / name).write_text(page)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        fresh_folder = pathlib.Path(folder)
        generate(fresh_folder)
        differing = differing_files(fresh_folder)
    for name in differing:
        sys.stderr.write(
            f'cardamomflow/generated/{name} is out of date:'
            ' run `make generate` and commit\n'
        )
    outdated = [
        name
        for name, page in reference.pages().items()
        if (reference.DOCS / name).read_text() != page
    ]
    for name in outdated:
        sys.stderr.write(
            f'docs/{name} is out of date: run `make generate` and commit\n'
        )
    return int(bool(differing or outdated))


if __name__ == '__main__':
    sys.exit(main())
