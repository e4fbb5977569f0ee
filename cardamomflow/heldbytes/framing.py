"""Cost of the framing of a chunked body; sans-I/O."""

from cardamomflow import errors

# Framing of a chunk with a size of one digit, in bytes.
CHUNK_BYTES = 5
# For chunk extensions, and for bytes that are received but not parsed yet.
UNPARSED_ALLOWANCE_BYTES = 131_072


class ChunkMeter:
    """Compares what the chunks of a body carry with what they cost.

    Parameters
    ----------
    allowance_bytes : int
        Framing that a body may have besides twice its payload.

    Attributes
    ----------
    received_bytes : int
        Bytes of the body on the wire, with framing.
    is_tolerated : bool
        Whether the body is read whatever its framing costs.
    """

    def __init__(self, allowance_bytes: int) -> None:
        self.received_bytes = 0
        self.is_tolerated = False
        self._allowance_bytes = allowance_bytes
        self._chunk_count = 0
        self._payload_bytes = 0

    def record(self, payload_bytes: int) -> None:
        """Count a chunk or a part of one.

        Raises
        ------
        errors.RequestFragmented
            The framing costs far more than the body carries.
        """
        if self.is_tolerated:
            return
        self._chunk_count += 1
        self._payload_bytes += payload_bytes
        useful_bytes = 2 * self._payload_bytes
        framing_bytes = CHUNK_BYTES * self._chunk_count
        unused_bytes = self.received_bytes - self._payload_bytes
        if (
            framing_bytes > self._allowance_bytes + useful_bytes
            or unused_bytes > UNPARSED_ALLOWANCE_BYTES + useful_bytes
        ):
            raise errors.RequestFragmented(
                f'{self._chunk_count} chunks carry only'
                f' {self._payload_bytes} bytes'
            )
