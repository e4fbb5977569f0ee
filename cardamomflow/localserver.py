"""Registrations of the entry and aggregator processes of an agent's host.

Stores for each process its link, its endpoint, the time of its last hello and
the configuration revision that was sent to it. Sends the processes the agent's
view of the fleet and the configuration.
"""

from cardamomflow import errors, links, propagation
from cardamomflow.generated import control_pb2

AGGREGATOR = 'aggregator'
ENTRY = 'entry'
# A process sends a hello about every second. A process without one for this
# long hangs or has ended, and its link is closed, so that its endpoint is no
# longer announced to other members.
SILENCE_LIMIT_S = 10.0

ControlLink = links.Link[control_pb2.Message]


class _Process:
    __slots__ = (
        'endpoint',
        'last_hello_at',
        'link',
        'program',
        'sent_revision',
    )

    def __init__(
        self, link: ControlLink, hello: control_pb2.LocalHello
    ) -> None:
        self.link = link
        self.program = hello.program
        self.endpoint = control_pb2.Endpoint()
        self.endpoint.CopyFrom(hello.endpoint)
        self.endpoint.id = hello.process_id
        self.last_hello_at: float = 0
        self.sent_revision = 0


class LocalProcesses:
    """Registered processes of this host."""

    def __init__(self) -> None:
        self._processes_by_id: dict[str, _Process] = {}

    def record_hello(
        self, link: ControlLink, hello: control_pb2.LocalHello, now: float
    ) -> bool:
        """Register a process, or record its heartbeat.

        Returns
        -------
        bool
            Whether the process is new on this link.
        """
        process = self._processes_by_id.get(hello.process_id)
        is_new = process is None or process.link is not link
        if process is None or is_new:
            process = _Process(link, hello)
            self._processes_by_id[hello.process_id] = process
        process.last_hello_at = now
        return is_new

    def record_leaving(self, process_id: str) -> bool:
        """Remove a stopping process from the endpoints.

        Its link stays open, so that it receives views while it drains.

        Returns
        -------
        bool
            Whether the process was registered.
        """
        process = self._processes_by_id.get(process_id)
        if process is None or not process.program:
            return False
        process.program = ''
        return True

    def remove_link(self, link: ControlLink) -> bool:
        """Remove the process of a closed link; return whether it had one."""
        removed_ids = [
            process_id
            for process_id, process in self._processes_by_id.items()
            if process.link is link
        ]
        for process_id in removed_ids:
            del self._processes_by_id[process_id]
        return bool(removed_ids)

    def links(self) -> set[ControlLink]:
        """Return the links of the registered processes."""
        return {process.link for process in self._processes_by_id.values()}

    def silent_links(self, now: float) -> list[ControlLink]:
        """Return the links of processes whose hello is overdue."""
        return [
            process.link
            for process in self._processes_by_id.values()
            if now - process.last_hello_at > SILENCE_LIMIT_S
        ]

    def reset_silence(self, now: float) -> None:
        """Restart the silence limits, after a pause of this process."""
        for process in self._processes_by_id.values():
            process.last_hello_at = now

    def endpoints(self, program: str) -> list[control_pb2.Endpoint]:
        """Return the endpoints of a program, ordered by id."""
        endpoints = [
            process.endpoint
            for process in self._processes_by_id.values()
            if process.program == program
        ]
        return sorted(endpoints, key=lambda endpoint: endpoint.id)

    async def push(
        self,
        view: control_pb2.LocalView,
        document: propagation.Document | None,
        only_link: ControlLink | None = None,
    ) -> None:
        """Send a view to all processes, or to the one on `only_link`.

        The configuration is added for processes that do not have it yet.
        """
        for process in tuple(self._processes_by_id.values()):
            if only_link is not None and process.link is not only_link:
                continue
            message = control_pb2.Message(local_view=view)
            if (
                document is not None
                and process.sent_revision < document.revision
            ):
                process.sent_revision = document.revision
                message.local_view.configuration.revision = document.revision
                message.local_view.configuration.compressed = (
                    document.compressed
                )
            await post(process.link, message)


async def post(link: ControlLink, message: control_pb2.Message) -> None:
    """Send a message and ignore errors: the link's task handles them."""
    try:
        await link.post(message)
    except errors.FlowError:
        return
