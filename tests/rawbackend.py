"""Backend servers that send any bytes, and a host that uses one of them."""

import abc
import contextlib
import socket
import threading

from tests import hostworld, loops

# Limits the life of a connection, so that its thread ends.
LONGEST_ANSWER_S = 15.0


class RawBackend(abc.ABC):
    """Accepts connections and serves each in a thread.

    So it can send faster than the host reads, and wait.
    """

    def __init__(self):
        self._listener = self._listen()
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    @abc.abstractmethod
    def _serve(self, client):
        """Serve one connection; it is closed afterwards."""

    def _listen(self):
        return socket.create_server(('127.0.0.1', 0), backlog=100)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                threading.Thread(
                    target=self._run, args=(client,), daemon=True
                ).start()

    def _run(self, client):
        client.settimeout(LONGEST_ANSWER_S)
        with client, contextlib.suppress(OSError):
            self._serve(client)


class RawBackendWorld(hostworld.HostWorld):
    """A host whose only backend server of `a` is a `RawBackend`.

    Subclasses set `backend_class`.
    """

    def __init__(self, services=('a',)):
        super().__init__(services=services, replicas=0)
        self._raw_backends = []

    async def __aenter__(self):
        await super().__aenter__()
        self.backend = self.backend_class()
        await self.add_raw_backend('a0', 'a', self.backend)
        return self

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        for backend in self._raw_backends:
            backend.close()

    async def add_raw_backend(self, backend_id, service, backend):
        """List a backend server, and close it at the end."""
        self._raw_backends.append(backend)
        self._ports_by_id[backend_id] = backend.port
        self.list_backend(backend_id, service)
        await loops.until(
            lambda: backend_id in self.host.directory.backends_by_id
        )

    def _lists_all_backends(self):
        return self.host.ready
