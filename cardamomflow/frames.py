"""Encoder and decoder of length-prefixed protobuf frames; sans-I/O.

A frame is a 4-byte big-endian length followed by one serialized message.
"""

import struct
from collections.abc import Iterator
from typing import Generic, TypeVar

from google.protobuf import message as protobuf_message

from cardamomflow import errors, framefields

MAX_FRAME_BYTES = 4_194_304
_HEADER = struct.Struct('>I')

MessageT = TypeVar('MessageT', bound=protobuf_message.Message)


def encode(message: protobuf_message.Message) -> bytes:
    """Return one frame.

    Raises
    ------
    errors.FrameTooLarge
        The message is larger than `MAX_FRAME_BYTES`.
    """
    body = message.SerializeToString()
    if len(body) > MAX_FRAME_BYTES:
        raise errors.FrameTooLarge(f'frame of {len(body)} bytes is too large')
    return _HEADER.pack(len(body)) + body


class FrameReader(Generic[MessageT]):
    """Splits a byte stream into messages of one type."""

    def __init__(
        self, message_type: type[MessageT], *, checks_fields: bool = False
    ) -> None:
        """Create a reader of frames that contain a `message_type`.

        Parameters
        ----------
        message_type : type
        checks_fields : bool
            Whether messages with very many fields are refused.
        """
        self._message_type = message_type
        self._checks_fields = checks_fields
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of a frame that is not complete."""
        return len(self._buffer)

    def clear(self) -> None:
        """Drop a frame that is not complete; nothing may be fed after it."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[MessageT]:
        """Append received bytes and return the complete messages.

        The returned iterator must be read to its end before the next call.

        Raises
        ------
        errors.FrameTooLarge
            A frame announces more than `MAX_FRAME_BYTES`, or has too many
            fields.
        errors.ProtocolViolation
            A frame does not contain a valid message.
        """
        self._buffer += received
        return self._split()

    def _split(self) -> Iterator[MessageT]:
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            (length,) = _HEADER.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise errors.FrameTooLarge(
                    f'frame of {length} bytes is too large'
                )
            end = start + _HEADER.size + length
            if len(self._buffer) < end:
                break
            with memoryview(self._buffer) as view:
                body = bytes(view[start + _HEADER.size : end])
            start = end
            yield self._parse(body)
        del self._buffer[:start]

    def _parse(self, body: bytes) -> MessageT:
        if self._checks_fields:
            framefields.check(body, self._message_type.DESCRIPTOR)
        try:
            return self._message_type.FromString(body)
        except protobuf_message.DecodeError as error:
            raise errors.ProtocolViolation('frame cannot be parsed') from error
