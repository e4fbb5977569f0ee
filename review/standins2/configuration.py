"""Documents of the operator and of backend servers, as the users' pages say."""

import time


def configuration(version, routes, services, **fields):
    """Return a configuration; the limits are those of the smaller sites."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_check': '/health', 'max_connections': 110}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 262_144,
            'header_timeout_ms': 5_000,
            'idle_timeout_ms': 15_000,
        },
        **fields,
    }


def route(name, prefix, **fields):
    """Return a route of the host name `shop.example`."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'route_type': 'safe',
        'timeout_ms': 3_000,
        'target_latency_ms': 500,
        'priority': 1,
        'attempts': 1,
        **fields,
    }


def entry(service, zone, port, sequence=1, **fields):
    """Return the entry of a backend server."""
    return {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': zone,
        'version': '1',
        'slots': 3,
        'state': 'ready',
        'warmup_left_ms': 0,
        'sequence': sequence,
        'born': int(time.time() * 1000),
        **fields,
    }
