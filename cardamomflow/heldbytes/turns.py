"""Turns of the event loop that one connection may take.

A connection hands over the loop after a bounded number of events. If a single
received block contains more events than that, the connection also takes the
process's lane, which only one connection has at a time. So the delay of other
callers does not grow with the number of such connections.
"""

import curio

# Parsing an event takes 15 us, on the slowest hosts 40 us: about 1 ms a turn.
EVENTS_IN_A_TURN = 32


class Turns:
    """Turns of one connection.

    Parameters
    ----------
    lane : curio.Lock
        Shared by the connections of a process.
    """

    def __init__(self, lane: curio.Lock) -> None:
        self._lane = lane
        self._has_lane = False
        self._event_count = 0
        self._events_of_block = 0

    async def record_event(self) -> None:
        """Count an event; lets other tasks run if the turn is over."""
        self._event_count += 1
        self._events_of_block += 1
        if self._event_count % EVENTS_IN_A_TURN:
            return
        if self._events_of_block >= EVENTS_IN_A_TURN and not self._has_lane:
            await self._lane.acquire()
            self._has_lane = True
        await curio.sleep(0)

    async def end_block(self) -> None:
        """Leave the lane: all events of the received block are parsed."""
        self._events_of_block = 0
        if self._has_lane:
            self._has_lane = False
            await self._lane.release()
