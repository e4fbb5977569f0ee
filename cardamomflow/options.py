"""Options and arguments of the operators' command line."""

import pathlib

import click

_FILE = click.Path(path_type=pathlib.Path)
RANKS = ('urgent', 'standard', 'bulk')
PARTS = ('all', 'register', 'rules')

SETTINGS = click.Option(
    ['--settings', 'settings_path'],
    type=_FILE,
    required=True,
    envvar='CARDAMOMFLOW_SETTINGS',
    show_envvar=True,
    help='Settings file of the operator, in YAML.',
)
REGISTER = click.Option(
    ['--register', 'register_path'],
    type=_FILE,
    required=True,
    help='Asset register, in YAML.',
)
RULES = click.Option(
    ['--rules', 'rules_path'],
    type=_FILE,
    required=True,
    help='Rules, in YAML.',
)
BASED_ON = click.Option(
    ['--based-on'],
    type=click.IntRange(min=0),
    required=True,
    help='Revision that you edited; 0 for the first configuration.',
)
PUBLISH_ID = click.Option(
    ['--publish-id'],
    help='Id of an earlier run whose outcome is unknown.',
)
RECOVER = click.Option(
    ['--recover'],
    is_flag=True,
    help='Publish above the revision in force, which the platform lost.',
)
WITHOUT_FLEET = click.Option(
    ['--without-fleet'],
    is_flag=True,
    help='Do not query agents and entries for the revision in force.',
)
PART = click.Option(
    ['--part'],
    type=click.Choice(PARTS),
    default='all',
    show_default=True,
    help='Part of the configuration to print.',
)
EXPORT = click.Argument(['export_path'], type=_FILE, metavar='EXPORT')
OUTPUT = click.Option(
    ['--output', 'output_path'],
    type=_FILE,
    help='Register file to write; standard output by default.',
)
TARGET = click.Option(
    ['--service', 'target'],
    help='Service or index that the request names.',
)
WORK = click.Option(['--work'], help='Kind of work that the request names.')
RANK = click.Option(
    ['--rank'],
    type=click.Choice(RANKS),
    help='Rank that the request names instead of its work.',
)
LOCAL_REGISTER = click.Option(
    ['--register', 'register_path'],
    type=_FILE,
    help='Register file to explain instead of the published one.',
)
LOCAL_RULES = click.Option(
    ['--rules', 'rules_path'],
    type=_FILE,
    help='Rules file to explain instead of the published one.',
)
OPTIONAL_SETTINGS = click.Option(
    ['--settings', 'settings_path'],
    type=_FILE,
    envvar='CARDAMOMFLOW_SETTINGS',
    show_envvar=True,
    help='Settings file of the operator, in YAML.',
)
REQUEST_ID = click.Argument(['request_id'])
EXPLAINED_ID = click.Argument(['request_id'], required=False)
FAILED = click.Option(
    ['--failed', 'all_failed'],
    is_flag=True,
    help='Print the cause of every request without a complete answer.',
)
LOGS = click.Argument(['logs'], type=click.File(), nargs=-1, metavar='[LOG]...')
