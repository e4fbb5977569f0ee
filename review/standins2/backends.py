"""A sound backend server: runs each request once and records it."""

import socket
import threading


class Backend:
    """Answers each request whole, with its id and a signature.

    Attributes
    ----------
    port : int
    runs : list of dict
        Headers of the requests that ran, by name in lower case; `:path` is the
        target and `:body` the body.
    """

    def __init__(self, backend_id):
        self.backend_id = backend_id
        self.runs = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        connection.settimeout(30)
        with connection:
            try:
                received = b''
                while True:
                    received = self._serve_request(connection, received)
                    if received is None:
                        return
            except OSError:
                return

    def _serve_request(self, connection, received):
        """Serve one request; return what follows it, None at the end."""
        while b'\r\n\r\n' not in received:
            block = connection.recv(65_536)
            if not block:
                return None
            received += block
        head, _, received = received.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
        size = int(headers.get('content-length', '0'))
        while len(received) < size:
            block = connection.recv(65_536)
            if not block:
                return None
            received += block
        headers[':path'] = lines[0].split(' ')[1]
        headers[':body'] = received[:size]
        self._answer(connection, headers)
        return received[size:]

    def _answer(self, connection, headers):
        request_id = headers.get('x-request-id', '')
        if headers[':path'] == '/health':
            head = f'HTTP/1.1 200 OK\r\nX-Instance-Id: {self.backend_id}\r\n'
            connection.sendall(f'{head}Content-Length: 0\r\n\r\n'.encode())
            return
        if headers.get('x-target-instance') != self.backend_id:
            connection.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                + f'X-Request-Id: {request_id}\r\n'.encode()
                + b'Content-Length: 0\r\n\r\n'
            )
            return
        with self._lock:
            self.runs.append(headers)
            number = len(self.runs)
        body = f'answer to {request_id}'.encode()
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Response-Seal: {self.backend_id}.07.{number}\r\n'
            'X-Server-Load: 1,0,3\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        connection.sendall(head.encode() + body)

    def run_of(self, request_id):
        """Return the headers with which a request ran, None if it did not."""
        with self._lock:
            for headers in self.runs:
                if headers.get('x-request-id') == request_id:
                    return headers
        return None
