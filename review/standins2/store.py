"""Stand-in of the platform's metadata store; threads and the standard library.

Follows the users' page on the store: items with revisions, pages, watches,
transactions and leases. It is always sound: it loses nothing and is never slow.
"""

import base64
import http.server
import json
import threading
import time
import urllib.parse

PAGE_ITEMS = 500
# Time for which a lost answer keeps its connection open.
SILENCE_S = 15


class Store:
    """State of the store, shared by the threads of its connections."""

    def __init__(self):
        self._changed = threading.Condition()
        self._revision = 10
        self._items = {}
        self._events = []
        self._leases = {}
        self._granted = 0

    def put(self, key, document):
        """Write as the operator or a backend server does."""
        with self._changed:
            self._put(key, json.dumps(document).encode(), 0)
            self._changed.notify_all()

    def remove(self, key):
        """Remove an item, as the end of a lease does."""
        with self._changed:
            self._remove(key)
            self._changed.notify_all()

    def keys(self, prefix):
        """Return the keys with a prefix."""
        with self._changed:
            return sorted(key for key in self._items if key.startswith(prefix))

    def call(self, method, target, body):
        """Return the status and the document of the answer to one call."""
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        name, _, argument = parts.path.removeprefix('/api/').partition('/')
        with self._changed:
            self._expire()
            if name == 'kv-key':
                item = self._items.get(query['key'])
                return (200, self._stamp(item)) if item else (404, {})
            if name == 'kv-range':
                return 200, self._range(query)
            if name == 'kv-watch':
                return self._watch(query)
            if name == 'kv-lease':
                self._granted += 1
                ttl_s = json.loads(body)['ttl_ms'] / 1000
                self._leases[self._granted] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {'lease': self._granted, 'ttl_ms': int(ttl_s * 1000)}
            if name == 'kv-keep':
                lease = int(argument)
                if lease not in self._leases:
                    return 404, {}
                ttl_s = self._leases[lease][0]
                self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
                return 200, {'lease': lease, 'ttl_ms': int(ttl_s * 1000)}
            if name == 'kv-lease-end':
                self._end_lease(int(argument))
                return 200, {}
            if name == 'kv-txn':
                return self._transact(json.loads(body))
        return 404, {}

    def _stamp(self, document):
        return {**document, 'as_of': self._revision}

    def _range(self, query):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return self._stamp({'items': page, 'has_more': len(keys) > len(page)})

    def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            self._expire()
            found = [
                event
                for event in self._events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, self._stamp({'events': found})
            self._changed.wait(min(left_s, 0.2))

    def _transact(self, document):
        for row in document['expected_rev']:
            item = self._items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': []}
        keys = [row['key'] for row in document['puts']]
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        for row in document['puts']:
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, {}
        for row in document['puts']:
            value = base64.b64decode(row['value'])
            self._put(row['key'], value, row.get('lease', 0))
        for key in document['delete_keys']:
            self._remove(key)
        self._changed.notify_all()
        return 200, {'revision': self._revision}

    def _put(self, key, value, lease):
        self._revision += 1
        before = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self._revision,
            'created': before['created'] if before else self._revision,
            'lease': lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._events.append(
                {'key': key, 'revision': self._revision, 'removed': True}
            )

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item['lease'] == lease]:
            self._remove(key)
        self._changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, (_, end) in self._leases.items() if end <= now]:
            self._end_lease(lease)


class Door:
    """The way of one host to the store, which can turn this host away.

    Attributes
    ----------
    is_silent : bool
        Whether calls of the host get no answer.
    """

    def __init__(self):
        self.is_silent = False


def serve(store, door=None):
    """Serve a store on a free loopback port; return the port.

    Parameters
    ----------
    store : Store
    door : Door, optional
    """
    door = door or Door()

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def _answer(self):
            if door.is_silent:
                self._wait_silently()
                return
            size = int(self.headers.get('Content-Length') or 0)
            body = self.rfile.read(size)
            status, document = store.call(self.command, self.path, body)
            if door.is_silent:
                # A watch that was waiting gets no answer either.
                self._wait_silently()
                return
            payload = json.dumps(document).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)

        def _wait_silently(self):
            """Keep a connection that returns nothing any more."""
            time.sleep(SILENCE_S)
            self.close_connection = True

        do_GET = do_POST = do_DELETE = _answer

        def log_message(self, *_):
            """Write no log."""

    class Server(http.server.ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, *_):
            """Ignore a host that ended in the middle of a call."""

    server = Server(('127.0.0.1', 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]
