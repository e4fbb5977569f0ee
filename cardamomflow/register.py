"""Asset register: zones, services, indexes, backend servers; immutable.

Converts the register document to typed values and cross-checks it. Does no
I/O and has no run-time state.
"""

from typing import Any, NamedTuple

from cardamomflow import errors, settings

# The owner and the standby of a zone may both have connections to a server.
_AGGREGATORS_PER_ZONE = 2
_FIRST_MAP = 1


class Service(NamedTuple):
    """A replicated service.

    Attributes
    ----------
    name : str
    index : str
        Index that the service belongs to.
    slots : int
        Requests that one backend server runs at the same time.
    connections : int
        Connections that one backend server accepts.
    connection_cost_ms : float
    """

    name: str
    index: str
    slots: int
    connections: int
    connection_cost_ms: float


class Backend(NamedTuple):
    """A backend server.

    Attributes
    ----------
    backend_id, service, availability_zone, address : str
    port : int
    host_id : str
    leaving : bool
    incarnation : int
        Increases when a backend server starts again under its id; 0 if
        unknown.
    warmup_left_s : float
        Seconds for which it was cold when the entry was written.
    """

    backend_id: str
    service: str
    availability_zone: str
    address: str
    port: int
    host_id: str
    leaving: bool
    incarnation: int = 0
    warmup_left_s: float = 0


class Index(NamedTuple):
    """An index and its shard maps.

    Attributes
    ----------
    name : str
    services : tuple of str
        Services that belong to the index, sorted.
    shards_by_map : dict of int to int
        Shards for each service, by map revision.
    """

    name: str
    services: tuple[str, ...]
    shards_by_map: dict[int, int]


class Register(NamedTuple):
    """The typed asset register."""

    regions_by_zone: dict[str, str]
    services_by_name: dict[str, Service]
    indexes_by_name: dict[str, Index]
    backends_by_id: dict[str, Backend]
    backends_by_service: dict[str, tuple[Backend, ...]]

    @classmethod
    def from_document(
        cls, document: Any, source: str = 'register'
    ) -> 'Register':
        """Build the register from a checked document.

        Raises
        ------
        errors.InvalidDocument
            Lists every problem of the document.
        """
        settings.require_valid(document, 'register', source, _cross_check)
        return cls.build(document)

    @classmethod
    def build(cls, document: Any) -> 'Register':
        """Build the register from a document without checking it again."""
        services = _services(document)
        backends = _backends(document)
        return cls(
            regions_by_zone={
                name: zone['region']
                for name, zone in document['availability_zones'].items()
            },
            services_by_name=services,
            indexes_by_name=_indexes(document, services),
            backends_by_id=backends,
            backends_by_service=_by_service(services, backends),
        )

    def index_of(self, target: str) -> Index:
        """Return the index named by a request's service or index name.

        Raises
        ------
        errors.NotFound
            Neither a service nor an index has this name.
        """
        if target in self.indexes_by_name:
            return self.indexes_by_name[target]
        if target in self.services_by_name:
            service = self.services_by_name[target]
            return self.indexes_by_name[service.index]
        raise errors.NotFound(
            f'no service or index is named {target!r};'
            ' see the register for the names in force'
        )

    def services_of(self, target: str) -> tuple[str, ...]:
        """Return the services that a request for `target` needs.

        Raises
        ------
        errors.NotFound
            Neither a service nor an index has this name.
        """
        index = self.index_of(target)
        return index.services if target == index.name else (target,)

    def zones_of_region(self, region: str) -> list[str]:
        """Return the availability zones of a region, sorted."""
        return sorted(
            zone
            for zone, zone_region in self.regions_by_zone.items()
            if zone_region == region
        )

    def connection_allowance(self, backend_id: str) -> int:
        """Return how many connections an aggregator may open to a server.

        The owners and standbys of all zones of the region together stay
        within the connection limit of the backend server, see
        `docs/design.md`, 2.1.
        """
        backend = self.backends_by_id[backend_id]
        service = self.services_by_name[backend.service]
        region = self.regions_by_zone[backend.availability_zone]
        zones = len(self.zones_of_region(region))
        return service.connections // (_AGGREGATORS_PER_ZONE * zones)


def _services(document: Any) -> dict[str, Service]:
    return {
        name: Service(
            name,
            service.get('index', name),
            service['slots'],
            service['connections'],
            service['connection_cost_ms'],
        )
        for name, service in document['services'].items()
    }


def _backends(document: Any) -> dict[str, Backend]:
    return {
        backend_id: Backend(
            backend_id,
            backend['service'],
            backend['availability_zone'],
            backend['address'],
            backend['port'],
            backend.get('host', backend_id),
            backend.get('leaving', False),
        )
        for backend_id, backend in document['backend_servers'].items()
    }


def _by_service(
    services: dict[str, Service], backends: dict[str, Backend]
) -> dict[str, tuple[Backend, ...]]:
    backends_by_service: dict[str, list[Backend]] = {
        name: [] for name in services
    }
    for backend in backends.values():
        backends_by_service[backend.service].append(backend)
    return {
        name: tuple(servers) for name, servers in backends_by_service.items()
    }


def _indexes(document: Any, services: dict[str, Service]) -> dict[str, Index]:
    members_by_index: dict[str, list[str]] = {}
    for name, service in sorted(services.items()):
        members_by_index.setdefault(service.index, []).append(name)
    declared = document.get('indexes', {})
    return {
        name: Index(name, tuple(members), _shards_by_map(declared.get(name)))
        for name, members in members_by_index.items()
    }


def _shards_by_map(index: Any) -> dict[int, int]:
    if index is None:
        return {_FIRST_MAP: 1}
    return {
        int(revision): shard_map['shards_per_service']
        for revision, shard_map in index['maps'].items()
    }


def _cross_check(document: Any, source: str) -> list[errors.SettingsProblem]:
    problems = _check_backends(document, source)
    problems.extend(_check_indexes(document, source))
    problems.extend(_check_allowances(document, source))
    return problems


def _check_backends(document: Any, source: str) -> list[errors.SettingsProblem]:
    problems = []
    ids_by_endpoint: dict[tuple[str, int], str] = {}
    for backend_id, backend in document['backend_servers'].items():
        path = f'backend_servers.{backend_id}'
        for key, registered in (
            ('service', document['services']),
            ('availability_zone', document['availability_zones']),
        ):
            if backend[key] not in registered:
                problems.append(
                    errors.SettingsProblem(
                        source,
                        f'{path}.{key}',
                        repr(backend[key]),
                        'a name of the register'
                        f' ({_example_names(registered)})',
                    )
                )
        endpoint = (backend['address'], backend['port'])
        other_id = ids_by_endpoint.setdefault(endpoint, backend_id)
        if other_id != backend_id:
            problems.append(
                errors.SettingsProblem(
                    source,
                    f'{path}.port',
                    str(backend['port']),
                    f'an endpoint not used by {other_id}',
                )
            )
    return problems


def _example_names(names: Any) -> str:
    examples = sorted(names)[:5]
    return ', '.join(examples)


def _check_indexes(document: Any, source: str) -> list[errors.SettingsProblem]:
    used_indexes = {
        service.get('index', name)
        for name, service in document['services'].items()
    }
    problems = [
        errors.SettingsProblem(
            source,
            f'indexes.{name}',
            repr(name),
            'an index that a service belongs to',
        )
        for name in document.get('indexes', {})
        if name not in used_indexes
    ]
    problems.extend(
        errors.SettingsProblem(
            source,
            f'services.{name}.index',
            repr(service['index']),
            'an index that is not the name of another service',
        )
        for name, service in document['services'].items()
        if service.get('index', name) != name
        and service['index'] in document['services']
    )
    return problems


def _check_allowances(
    document: Any, source: str
) -> list[errors.SettingsProblem]:
    zones_by_region: dict[str, int] = {}
    for zone in document['availability_zones'].values():
        region = zone['region']
        zones_by_region[region] = zones_by_region.get(region, 0) + 1
    minimum = _AGGREGATORS_PER_ZONE * max(zones_by_region.values())
    return [
        errors.SettingsProblem(
            source,
            f'services.{name}.connections',
            str(service['connections']),
            f'at least {minimum}: one for owner and standby of each zone',
        )
        for name, service in document['services'].items()
        if service['connections'] < minimum
    ]
