"""What is emulated, as data: hosts, services, kinds of requests, network.

The figures of the two deployments are those of the users' sheets; a test
varies them.
"""

from typing import NamedTuple

from cardamomflow import rules


class Service(NamedTuple):
    """Backend servers of one shard or of one plain service.

    Attributes
    ----------
    name : str
    zones : tuple of str
        The zone of each backend server.
    slots : int
    queue : int
        Requests that wait before others are refused.
    connections : int
        Connections that one backend server accepts.
    connection_s : float
        Time that a new connection holds a slot.
    speeds : tuple of float
        Factors of the time for work, by backend server in turn.
    pause_s, pause_every_s : float
        Length of a pause, and the time between two; 0 for none.
    holds_running : bool
        Whether a pause delays work that runs, not only work that starts.
    """

    name: str
    zones: tuple[str, ...]
    slots: int = 2
    queue: int = 12
    connections: int = 26
    connection_s: float = 0.006
    speeds: tuple[float, ...] = (1.0,)
    pause_s: float = 0
    pause_every_s: float = 0
    holds_running: bool = False


class Kind(NamedTuple):
    """Requests of one kind.

    Attributes
    ----------
    name : str
    rank : rules.Rank
    rate : float
        Requests a second, of all zones.
    services : tuple of str
        All are asked when `gathers`, else one of them in turn.
    gathers : bool
    minimum_share : float
    work_s : float
        Mean time of work at one backend server.
    spread : float
        Sigma of its logarithm.
    tail_share, tail_factor : float
        Share of work that takes so much longer.
    target_s, deadline_s : float
    repeatable : bool
    worth, late_worth : float
        Of an answer within its target, and of a later one.
    """

    name: str
    rank: rules.Rank
    rate: float
    services: tuple[str, ...]
    gathers: bool
    minimum_share: float
    work_s: float
    spread: float
    tail_share: float
    tail_factor: float
    target_s: float
    deadline_s: float
    repeatable: bool
    worth: float
    late_worth: float


class Deployment(NamedTuple):
    """A fleet and its load.

    Attributes
    ----------
    name : str
    hosts : tuple of str
        The zone of each host.
    services : tuple of Service
    kinds : tuple of Kind
    in_zone_s, between_zones_s, client_s : float
        One-way times of the network.
    call_cpu_s : float
        Processor time of a host for one call to a backend server.
    retry_share, retry_burst : float
    retry_window_s : float
        Time in which the fixed number of further attempts is allowed.
    """

    name: str
    hosts: tuple[str, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    in_zone_s: float = 0.0002
    between_zones_s: float = 0.0009
    client_s: float = 0.003
    call_cpu_s: float = 0.0004
    retry_share: float = 0.2
    retry_burst: float = 56
    retry_window_s: float = 10


ATTEMPTS = 2
_URGENT, _STANDARD, _BULK = rules.Rank


def _shards(
    count: int, zones: tuple[str, ...], **fields: object
) -> tuple[Service, ...]:
    return tuple(
        Service(f'shard-{number}', zones, **fields)  # type: ignore[arg-type]
        for number in range(count)
    )


def _names(services: tuple[Service, ...]) -> tuple[str, ...]:
    return tuple(service.name for service in services)


def _search(
    services: tuple[Service, ...], statements: Service, **times: float
) -> tuple[Kind, ...]:
    """Return the three kinds that both customers have."""
    search = Kind(
        'search',
        _STANDARD,
        times['rate'] * 0.6,
        _names(services),
        gathers=True,
        minimum_share=0.89,
        work_s=times['search_s'],
        spread=0.35,
        tail_share=0.01,
        tail_factor=5,
        target_s=times['search_target_s'],
        deadline_s=times['search_deadline_s'],
        repeatable=True,
        worth=1.9,
        late_worth=0.095,
    )
    check = search._replace(
        name='check',
        rank=_URGENT,
        rate=times['rate'] * 0.2,
        minimum_share=0.75,
        work_s=times['check_s'],
        target_s=times['check_target_s'],
        deadline_s=times['check_deadline_s'],
        worth=1.8,
        late_worth=0.072,
    )
    statement = Kind(
        'statement',
        _BULK,
        times['rate'] * 0.2,
        (statements.name,),
        gathers=False,
        minimum_share=1.0,
        work_s=times['statement_s'],
        spread=0.5,
        tail_share=0,
        tail_factor=1,
        target_s=times['statement_target_s'],
        deadline_s=times['statement_deadline_s'],
        repeatable=False,
        worth=0.48,
        late_worth=0.21,
    )
    return search, check, statement


def serra() -> Deployment:
    """Return Reciclagem Serra Gaúcha: 8 hosts, 20 shards in 2 of 4 zones."""
    shards = _shards(
        20, ('a', 'b'), speeds=(0.8, 1.0, 1.3), pause_s=0.12, pause_every_s=3
    )
    statements = Service(
        'statements',
        ('a', 'a', 'b', 'c', 'd'),
        slots=3,
        connections=110,
        connection_s=0.001,
    )
    return Deployment(
        'serra',
        ('a', 'a', 'a', 'b', 'b', 'c', 'c', 'd'),
        (*shards, statements),
        _search(
            shards,
            statements,
            rate=56,
            search_s=0.0165,
            search_target_s=0.118,
            search_deadline_s=1.5,
            check_s=0.0057,
            check_target_s=0.059,
            check_deadline_s=0.8,
            statement_s=0.135,
            statement_target_s=0.944,
            statement_deadline_s=6,
        ),
    )


def fjordlyd() -> Deployment:
    """Return Fjordlyd: 6 hosts, 20 shards of slower work."""
    shards = _shards(
        20, ('a', 'b'), connections=25, pause_s=0.25, pause_every_s=6
    )
    statements = Service(
        'statements',
        ('a', 'a', 'b', 'b', 'c', 'c', 'c'),
        slots=3,
        connections=38,
        connection_s=0.001,
    )
    return Deployment(
        'fjordlyd',
        ('a', 'a', 'b', 'b', 'c', 'c'),
        (*shards, statements),
        _search(
            shards,
            statements,
            rate=56,
            search_s=0.042,
            search_target_s=0.247,
            search_deadline_s=3,
            check_s=0.0138,
            check_target_s=0.097,
            check_deadline_s=1.2,
            statement_s=0.22,
            statement_target_s=1.5,
            statement_deadline_s=15,
        ),
        between_zones_s=0.0005,
    )


DEPLOYMENTS_BY_NAME = {'serra': serra, 'fjordlyd': fjordlyd}
