"""Number of fields in a serialized message, before it is parsed; sans-I/O.

A parsed message takes up to 60 times its serialized size, if that consists of
empty fields. Owns no messages: it follows their descriptors.
"""

from typing import Any

from google.protobuf import descriptor as protobuf_descriptor

from cardamomflow import errors

# Smaller messages can't have enough fields to matter.
UNCHECKED_BYTES = 16_384
# The largest messages between hosts have a few hundred.
MAX_FIELDS = 16_384
_TAG_BITS = 3
_VARINT_BITS = 7
_VARINT_END = 128
_VARINT, _FIXED64, _LENGTH, _FIXED32 = 0, 1, 2, 5
_SIZES_BY_FIXED_TYPE = {_FIXED64: 8, _FIXED32: 4}
_Descriptor = protobuf_descriptor.Descriptor
_FieldDescriptor = protobuf_descriptor.FieldDescriptor
_TEXT_TYPES = frozenset(
    (_FieldDescriptor.TYPE_BYTES, _FieldDescriptor.TYPE_STRING)
)


def check(body: bytes, descriptor: Any) -> None:
    """Check that a message has few fields, those of its parts included.

    An invalid message passes: the parser reports it.

    Parameters
    ----------
    body : bytes
    descriptor : google.protobuf.descriptor.Descriptor
        Type of the message.

    Raises
    ------
    errors.FrameTooLarge
        The message has more than `MAX_FIELDS` fields.
    """
    if len(body) <= UNCHECKED_BYTES:
        return
    counter = _FieldCounter(body)
    try:
        counter.count(descriptor)
    except IndexError:
        return


class _FieldCounter:
    """Counts the fields of one message."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._position = 0
        self._field_count = 0
        # Parts that are still to be counted: start, end and type.
        self._parts: list[tuple[int, int, _Descriptor]] = []

    def count(self, descriptor: _Descriptor) -> None:
        self._parts.append((0, len(self._body), descriptor))
        while self._parts:
            self._position, end, part_type = self._parts.pop()
            while self._position < end:
                self._add(1)
                self._skip_field(part_type)

    def _skip_field(self, descriptor: _Descriptor) -> None:
        key = self._read_varint()
        wire_type = key & ((1 << _TAG_BITS) - 1)
        if wire_type == _VARINT:
            self._read_varint()
        elif wire_type == _LENGTH:
            length = self._read_varint()
            field = descriptor.fields_by_number.get(key >> _TAG_BITS)
            if field is not None:
                self._add_content(field, length)
            self._position += length
        else:
            self._position += _SIZES_BY_FIXED_TYPE.get(wire_type, 0)

    def _add_content(self, field: Any, length: int) -> None:
        if field.message_type is not None:
            end = self._position + length
            self._parts.append((self._position, end, field.message_type))
        elif field.type not in _TEXT_TYPES:
            # Packed numbers of at least a byte each.
            self._add(length)

    def _add(self, count: int) -> None:
        self._field_count += count
        if self._field_count > MAX_FIELDS:
            raise errors.FrameTooLarge(
                f'a frame has more than {MAX_FIELDS} fields'
            )

    def _read_varint(self) -> int:
        number, shift = 0, 0
        while True:
            byte = self._body[self._position]
            self._position += 1
            number |= (byte & (_VARINT_END - 1)) << shift
            if byte < _VARINT_END:
                return number
            shift += _VARINT_BITS
