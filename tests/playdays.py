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
SITE_FOLDERS = ('sites', 'grown', 'further', 'further-grown', 'large')
# The sites whose days are run by default.
DEFAULT_SITE_FOLDERS = ('sites', 'further', 'further-grown')
DEFAULT_JOBS = 3  # half of the processors; with more, the bench abandons days
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


def find_bench(bench_root):
    """Return the newest bench of a folder, None without one."""
    newer = (bench_root / 'more').glob('bench-*/bin/fleetbench')
    found = sorted(newer, key=lambda path: path.stat().st_mtime)
    first = bench_root / 'bin' / 'fleetbench'
    if found:
        return found[-1]
    return first if first.exists() else None


def find_site(bench_root, name):
    """Return the file of a site, from any of the site folders."""
    found = [
        path
        for folder in SITE_FOLDERS
        for path in (bench_root / folder).glob('*.toml')
    ]
    by_name = {path.stem: path for path in found}
    if name not in by_name:
        known = ', '.join(sorted(by_name))
        raise click.ClickException(f'no site {name!r}; the sites are {known}')
    return by_name[name]


def default_sites(bench_root):
    """Return the files of the sites that are run by default."""
    return [
        path
        for folder in DEFAULT_SITE_FOLDERS
        for path in sorted((bench_root / folder).glob('*.toml'))
    ]


def run_bench(command, site, *options):
    """Run the bench on a site; return its output and one record per day."""
    completed = subprocess.run(
        [find_bench(BENCH_ROOT), command, site, *options],
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
    if find_bench(BENCH_ROOT) is None:
        click.echo("the users' bench is not installed; no day was run")
        sys.exit(EXIT_NO_BENCH)


@click.group()
def main():
    """Run days on the users' bench."""
    require_bench()
    OUTPUT_FOLDER.mkdir(exist_ok=True)


def bench_options(command):
    """Add the options that are passed on to the bench."""
    for option in (
        click.option('--small', is_flag=True, help='Small twins of the days.'),
        click.option('--jobs', default=DEFAULT_JOBS, show_default=True),
    ):
        command = option(command)
    return command


def pass_options(small, jobs):
    """Return the options of the bench."""
    return ['--jobs', str(jobs), *(['--small'] if small else [])]


@main.command()
@click.argument('sites', nargs=-1)
@bench_options
def days(sites, small, jobs):
    """Run every standard day of the given sites, by default of some."""
    site_files = [find_site(BENCH_ROOT, name) for name in sites]
    rows = []
    for site in site_files or default_sites(BENCH_ROOT):
        output, site_rows = run_bench('score', site, *pass_options(small, jobs))
        click.echo(output)
        rows.extend(site_rows)
    (OUTPUT_FOLDER / 'days.json').write_text(json.dumps(rows, indent=1))
    sys.exit(EXIT_RULE_BROKEN if any(row['breaks'] for row in rows) else 0)


@main.command()
@click.argument('name')
@click.option('--days', 'count', default=40, show_default=True)
@bench_options
def hunt(name, count, small, jobs):
    """Run days with new seeds, which the bench chooses and reports."""
    site = find_site(BENCH_ROOT, name)
    output, rows = run_bench(
        'hunt', site, '--days', str(count), *pass_options(small, jobs)
    )
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
