"""Runs days on the users' bench, where it is installed.

`days` runs every standard day of the sites and writes `build/days.json`;
`hunt` runs days with other seeds and saves the output of the bench. Not part
of the test suite: a site takes minutes, and CI has no bench.
"""

import json
import pathlib
import re
import subprocess
import sys
import tomllib

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
BENCH_ROOT = ROOT.parent / 'given' / 'kit' / 'more' / 'system'
OUTPUT_FOLDER = ROOT / 'build'
JOBS = '4'  # half of the processors; with more, the bench abandons days
EXIT_NO_BENCH = 3
EXIT_RULE_BROKEN = 1
_ROW = re.compile(
    r'^(?P<day>\S+(?: --seed \d+)?) +\d+/\d+ +(?P<score>[\d.]+)'
    r' +(?P<worth>-?[\d.]+) (?P<rest>.*)$',
    re.MULTILINE,
)
_BROKEN_RULE = re.compile(r'([A-Z]{3,}) \d+')


def parse_rows(output, seeds_by_day):
    """Return one record for each day in a result table of the bench."""
    return [
        {
            'day': row['day'],
            'seed': seeds_by_day.get(row['day']),
            'score': float(row['score']),
            'worth': float(row['worth']),
            'breaks': _BROKEN_RULE.findall(row['rest'].partition('BROKEN:')[2]),
        }
        for row in _ROW.finditer(output)
    ]


def run_bench(command, site, *options):
    """Run the bench on a site; return its output and one record per day."""
    completed = subprocess.run(
        [
            BENCH_ROOT / 'bin' / 'fleetbench',
            command,
            site,
            '--jobs',
            JOBS,
            *options,
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    days = tomllib.loads(site.read_text())['day']
    seeds_by_day = {day['name']: day['seed'] for day in days}
    rows = parse_rows(completed.stdout, seeds_by_day)
    if not rows:
        raise click.ClickException(
            f'the bench reported no day:\n{completed.stdout}'
        )
    return completed.stdout, [{'site': site.stem, **row} for row in rows]


def require_bench():
    """Exit if the bench is not installed."""
    if not (BENCH_ROOT / 'bin' / 'fleetbench').exists():
        click.echo("the users' bench is not installed; no day was run")
        sys.exit(EXIT_NO_BENCH)


@click.group()
def main():
    """Run days on the users' bench."""
    require_bench()
    OUTPUT_FOLDER.mkdir(exist_ok=True)


@main.command()
@click.argument('sites', nargs=-1)
def days(sites):
    """Run every standard day of the given sites, by default of all."""
    site_files = [BENCH_ROOT / 'sites' / f'{name}.toml' for name in sites]
    rows = []
    for site in site_files or sorted((BENCH_ROOT / 'sites').glob('*.toml')):
        output, site_rows = run_bench('score', site)
        click.echo(output)
        rows.extend(site_rows)
    (OUTPUT_FOLDER / 'days.json').write_text(json.dumps(rows, indent=1))
    sys.exit(EXIT_RULE_BROKEN if any(row['breaks'] for row in rows) else 0)


@main.command()
@click.argument('name')
@click.option('--days', 'count', default=40, show_default=True)
def hunt(name, count):
    """Run days with new seeds, which the bench chooses and reports."""
    site = BENCH_ROOT / 'sites' / f'{name}.toml'
    output, rows = run_bench('hunt', site, '--days', str(count))
    saved_output = OUTPUT_FOLDER / f'hunt-{name}.txt'
    saved_output.write_text(output)
    broken = [row for row in rows if row['breaks']]
    click.echo(
        f'{len(rows)} days, {len(broken)} with broken rules;'
        f' output: {saved_output}'
    )
    for row in broken:
        click.echo(f'{row["breaks"]}: fleetbench replay {site} "{row["day"]}"')
    sys.exit(EXIT_RULE_BROKEN if broken else 0)


if __name__ == '__main__':
    main()
