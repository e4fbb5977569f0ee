"""Turns of the event loop that the connections of clients take.

A connection needs a turn for each block that it received, and a further one
for each `EVENTS_IN_A_TURN` events in the block. A round of the loop has a
bounded number of both, so its length does not grow with the number of
connections that have input. `turnqueue` chooses whose turn it is.
"""

import curio

from cardamomflow import errors
from cardamomflow.heldbytes import turnqueue

# Parsing an event takes 15 us, on the slowest hosts 40 us: about 1 ms a turn.
EVENTS_IN_A_TURN = 32
# A block is often a whole request, which takes about 1 ms to answer.
BLOCKS_IN_A_ROUND = 16
# Blocks with more than `EVENTS_IN_A_TURN` events have one turn a round in all.
FRAGMENTS_IN_A_ROUND = 1
# Turns of links with many messages in a block, see `links`.
MESSAGE_TURNS_IN_A_ROUND = 4
# Bodies in pieces so small that they wait for such turns.
MAX_WAITING_FRAGMENTED = 1024
RETRY_AFTER_S = 1.0


class _Waiter:
    """A connection that waits for its turn."""

    def __init__(self) -> None:
        self.is_dropped = False
        self._is_due = curio.Event()

    async def wake(self) -> None:
        await self._is_due.set()

    async def wait(self) -> None:
        await self._is_due.wait()


class Scheduler:
    """Turns of all connections of a process.

    Attributes
    ----------
    blocks, fragments, messages : turnqueue.TurnQueue
    """

    def __init__(self) -> None:
        self.blocks: turnqueue.TurnQueue[_Waiter] = turnqueue.TurnQueue(
            BLOCKS_IN_A_ROUND
        )
        self.fragments: turnqueue.TurnQueue[_Waiter] = turnqueue.TurnQueue(
            FRAGMENTS_IN_A_ROUND, MAX_WAITING_FRAGMENTED
        )
        self.messages: turnqueue.TurnQueue[_Waiter] = turnqueue.TurnQueue(
            MESSAGE_TURNS_IN_A_ROUND
        )
        self._queues = (self.blocks, self.fragments, self.messages)
        self._is_running = False

    async def ensure_running(self) -> None:
        """Start to count rounds, until no connection waits."""
        if not self._is_running:
            self._is_running = True
            await curio.spawn(self._run, daemon=True)

    async def _run(self) -> None:
        try:
            while any(queue.waiting_count for queue in self._queues):
                # All other tasks that are ready run first.
                await curio.sleep(0)
                await self._start_round()
        finally:
            self._is_running = False

    async def _start_round(self) -> None:
        for queue in self._queues:
            for waiter in queue.start_round():
                await waiter.wake()


class Turns:
    """Turns of one connection.

    Parameters
    ----------
    scheduler : Scheduler
        Shared by the connections of a process.

    Attributes
    ----------
    events_of_block : int
        Events of the present block so far.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.events_of_block = 0
        self._scheduler = scheduler
        self._block_flow = turnqueue.Flow()
        self._fragment_flow = turnqueue.Flow()
        self._message_flow = turnqueue.Flow()
        self._waiter: _Waiter | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for a turn."""
        return self._waiter is not None

    def start_block(self) -> bool:
        """Take a turn for a block; without one, `wait_for_block` is due."""
        self.events_of_block = 0
        return self._scheduler.blocks.take(self._block_flow)

    async def wait_for_block(self) -> None:
        """Wait for a turn for a block that has been received."""
        await self._wait(self._scheduler.blocks, self._block_flow)

    def record_event(self) -> bool:
        """Count an event; return whether the turn is over.

        The next event then needs `wait_for_fragment` first.
        """
        self.events_of_block += 1
        return not self.events_of_block % EVENTS_IN_A_TURN

    async def wait_for_fragment(self) -> None:
        """Wait for a further turn for the present block.

        Raises
        ------
        errors.RequestFragmented
            Too many connections wait, and the others have had fewer turns.
        """
        await self._wait(self._scheduler.fragments, self._fragment_flow)

    async def wait_for_messages(self) -> None:
        """Wait for a further turn for the messages of the present block."""
        await self._wait(self._scheduler.messages, self._message_flow)

    async def interrupt(self) -> None:
        """End a wait for a turn, if there is one."""
        if self._waiter is not None:
            await self._waiter.wake()

    async def _wait(
        self,
        queue: turnqueue.TurnQueue[_Waiter],
        flow: turnqueue.Flow,
    ) -> None:
        waiter = _Waiter()
        dropped = queue.add(flow, waiter)
        if dropped is not None:
            dropped.is_dropped = True
            await dropped.wake()
        self._waiter = waiter
        try:
            await self._scheduler.ensure_running()
            await waiter.wait()
        finally:
            self._waiter = None
            queue.remove(waiter)
        if waiter.is_dropped:
            raise errors.RequestFragmented(
                'too many bodies in small pieces are being read',
                retry_after_s=RETRY_AFTER_S,
            )
