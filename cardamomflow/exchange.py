"""Messages to an agent over TCP, each on a connection of its own."""

import curio

from cardamomflow import errors, frames, links
from cardamomflow.generated import control_pb2

TIMEOUT_S = 2.0
_RECEIVE_BYTES = 262_144


async def send_request(
    address: str, port: int, request: control_pb2.Message
) -> control_pb2.Message:
    """Send a request and return the answer.

    Raises
    ------
    errors.PeerLost
        No complete answer within `TIMEOUT_S`.
    """
    try:
        return await curio.timeout_after(
            TIMEOUT_S, _send_request, address, port, request
        )
    except (OSError, errors.ConnectFailed, curio.TaskTimeout) as error:
        raise errors.PeerLost(f'no answer from {address}:{port}') from error


async def send_message(
    address: str, port: int, message: control_pb2.Message
) -> None:
    """Send a message without waiting for an answer.

    Raises
    ------
    errors.PeerLost
        The message could not be sent within `TIMEOUT_S`.
    """
    try:
        await curio.timeout_after(
            TIMEOUT_S, _send_message, address, port, message
        )
    except (OSError, errors.ConnectFailed, curio.TaskTimeout) as error:
        raise errors.PeerLost(f'{address}:{port} is not reachable') from error


async def _send_request(
    address: str, port: int, request: control_pb2.Message
) -> control_pb2.Message:
    reader = frames.FrameReader(control_pb2.Message)
    async with await links.open_socket(
        address, port, links.CONNECT_TIMEOUT_S
    ) as sock:
        links.set_no_delay(sock)
        await sock.sendall(frames.encode(request))
        while True:
            received = await sock.recv(_RECEIVE_BYTES)
            if not received:
                raise errors.PeerLost(
                    f'{address}:{port} closed the connection before its answer'
                )
            answers = list(reader.feed(received))
            if answers:
                return answers[0]


async def _send_message(
    address: str, port: int, message: control_pb2.Message
) -> None:
    async with await links.open_socket(
        address, port, links.CONNECT_TIMEOUT_S
    ) as sock:
        await sock.sendall(frames.encode(message))
