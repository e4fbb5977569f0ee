"""Starts hosts with the command of the deploy file, and a caller of them."""

import json
import os
import pathlib
import shlex
import socket
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = 'shop.example'
START_S = 20.0
# Figures of the smaller deployments on the users' pages.
MEMORY_MB = 300
MAX_DESCRIPTORS = 4100
LINK_MBPS = 1000
RETRY_SHARE = 0.2
RETRY_BURST = 56
GRACE_S = 6


def free_port():
    """Return a loopback port that is free now."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]


class Host:
    """One host process."""

    def __init__(self, folder, name, zone, zones, store_port):
        self.callers, self.ready, self.peers, self.metrics = (
            free_port() for _ in range(4)
        )
        self.name = name
        self._log = open(pathlib.Path(folder) / f'{name}.log', 'wb')  # noqa
        settings = pathlib.Path(folder) / f'{name}.yaml'
        # The keys of deploy/host.yaml; JSON is YAML.
        settings.write_text(
            json.dumps(
                {
                    'process_id': name,
                    'host': {
                        'id': name,
                        'region': 'sul',
                        'availability_zone': zone,
                    },
                    'callers': f'127.0.0.1:{self.callers}',
                    'metrics': f'127.0.0.1:{self.metrics}',
                    'peers': f'127.0.0.1:{self.peers}',
                    'processor': {'share': 0.537, 'cores': 2},
                    'link_mbps': LINK_MBPS,
                    'memory_mb': MEMORY_MB,
                    'max_descriptors': MAX_DESCRIPTORS,
                    'availability_zones': list(zones),
                    'leave_zone': {'enabled': False},
                    'readiness': f'127.0.0.1:{self.ready}',
                    'store': f'127.0.0.1:{store_port}',
                    'retry_share': RETRY_SHARE,
                    'retry_burst': RETRY_BURST,
                    'stop_within_s': GRACE_S,
                }
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['host']['run'])
        words = [
            str(settings) if word.startswith('/etc/') else word for word in words
        ]
        if words[0] == 'python3':
            words[0] = sys.executable
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            stdout=self._log,
            stderr=self._log,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
            },
        )

    def wait_ready(self):
        """Wait until the host is ready; return whether it is."""
        until = time.monotonic() + START_S
        while time.monotonic() < until and self.process.poll() is None:
            try:
                if ask(self.ready, b'GET', '/api/ready', 'r', b'').status == 200:
                    return True
            except OSError:
                pass
            time.sleep(0.1)
        return False

    def end(self):
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class Answer:
    """What a caller got for one request.

    `is_whole` tells whether the answer looks whole to the caller: its head and
    as many bytes as its head announces.
    """

    def __init__(self, received):
        head, separator, rest = received.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.status = int(lines[0].split(b' ')[1]) if separator else 0
        self.headers = {}
        for line in lines[1:]:
            name, _, content = line.partition(b':')
            self.headers[name.strip().lower().decode()] = content.strip().decode()
        length = self.headers.get('content-length')
        self.body = rest
        self.is_whole = (
            bool(separator) and length is not None and len(rest) == int(length)
        )


def request_bytes(
    method, path, request_id, body, deadline_ms=3000, headers=()
):
    """Return a request as a client sends it."""
    head = [
        b'%s %s HTTP/1.1' % (method, path.encode()),
        b'Host: ' + HOST_NAME.encode(),
        b'X-Request-Id: ' + request_id.encode(),
        b'X-Request-Deadline: %d' % deadline_ms,
    ]
    head.extend(f'{name}: {content}'.encode() for name, content in headers)
    if method == b'POST':
        head.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


def ask(
    port, method, path, request_id, body, deadline_ms=3000, headers=()
):
    """Send one request on a new connection and return its answer."""
    with socket.create_connection(('127.0.0.1', port), 1.0) as connection:
        connection.settimeout(deadline_ms / 1000 + 1)
        connection.sendall(
            request_bytes(
                method, path, request_id, body, deadline_ms, headers
            )
        )
        received = b''
        while True:
            try:
                block = connection.recv(65536)
            except OSError:
                break
            received += block
            if not block or Answer(received).is_whole:
                break
    return Answer(received)
