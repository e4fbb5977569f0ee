"""Plays days on the users' bench, where it is present.

`days` plays every standard day of the sites and writes `build/days.json`;
`hunt` plays days with other seeds and keeps its output. Not part of the
suite: a site takes minutes, and CI has no bench.
"""

import json
import pathlib
import re
import subprocess
import sys
import tomllib

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
SYSTEM = ROOT.parent / 'given' / 'kit' / 'more' / 'system'
BUILD = ROOT / 'build'
JOBS = '4'  # half of the processors; more give days up
NO_BENCH = 3
BROKEN = 1
_ROW = re.compile(
    r'^(?P<day>\S+(?: --seed \d+)?) +\d+/\d+ +(?P<score>[\d.]+)'
    r' +(?P<worth>-?[\d.]+) (?P<rest>.*)$',
    re.MULTILINE,
)
_BREAK = re.compile(r'([A-Z]{3,}) \d+')


def parse_rows(output, seeds_by_day):
    """Return the days of a table of the bench."""
    return [
        {
            'day': row['day'],
            'seed': seeds_by_day.get(row['day']),
            'score': float(row['score']),
            'worth': float(row['worth']),
            'breaks': _BREAK.findall(row['rest'].partition('BROKEN:')[2]),
        }
        for row in _ROW.finditer(output)
    ]


def play(verb, site, *options):
    """Run the bench on a site; returns its output and its rows."""
    finished = subprocess.run(
        [SYSTEM / 'bin' / 'fleetbench', verb, site, '--jobs', JOBS, *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    days = tomllib.loads(site.read_text())['day']
    seeds_by_day = {day['name']: day['seed'] for day in days}
    rows = parse_rows(finished.stdout, seeds_by_day)
    if not rows:
        raise click.ClickException(f'no day was played:\n{finished.stdout}')
    return finished.stdout, [{'site': site.stem, **row} for row in rows]


def require_bench():
    """End the program when the bench is not there."""
    if not (SYSTEM / 'bin' / 'fleetbench').exists():
        click.echo('the bench of the users is not here; nothing was played')
        sys.exit(NO_BENCH)


@click.group()
def main():
    """Play days on the users' bench."""
    require_bench()
    BUILD.mkdir(exist_ok=True)


@main.command()
@click.argument('sites', nargs=-1)
def days(sites):
    """Play every standard day; all sites in force by default."""
    found = [SYSTEM / 'sites' / f'{name}.toml' for name in sites]
    rows = []
    for site in found or sorted((SYSTEM / 'sites').glob('*.toml')):
        output, played = play('score', site)
        click.echo(output)
        rows.extend(played)
    (BUILD / 'days.json').write_text(json.dumps(rows, indent=1))
    sys.exit(BROKEN if any(row['breaks'] for row in rows) else 0)


@main.command()
@click.argument('name')
@click.option('--days', 'count', default=40, show_default=True)
def hunt(name, count):
    """Play days with fresh seeds; the bench draws them and names them."""
    site = SYSTEM / 'sites' / f'{name}.toml'
    output, rows = play('hunt', site, '--days', str(count))
    kept = BUILD / f'hunt-{name}.txt'
    kept.write_text(output)
    broken = [row for row in rows if row['breaks']]
    click.echo(f'{len(rows)} days, {len(broken)} broken; output: {kept}')
    for row in broken:
        click.echo(f'{row["breaks"]}: fleetbench replay {site} "{row["day"]}"')
    sys.exit(BROKEN if broken else 0)


if __name__ == '__main__':
    main()
