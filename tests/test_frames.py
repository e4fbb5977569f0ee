"""Tests of the encoder and decoder of frames."""

# Bytes on the wire are joined from parts, and peers nest in their servers.
# flake8: noqa: WPS336

import struct
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from cardamomflow import errors, frames
from cardamomflow.generated import wire_pb2


def _ping(nonce):
    return wire_pb2.Envelope(ping=wire_pb2.Ping(nonce=nonce))


class FrameReaderTest(unittest.TestCase):
    """Decoding of a byte stream."""

    def setUp(self):
        self.reader = frames.FrameReader(wire_pb2.Envelope)

    @hypothesis.settings(derandomize=True, max_examples=60)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 2**64 - 1), max_size=12),
        strategies.lists(strategies.integers(1, 30), max_size=30),
    )
    def test_any_split(self, nonces, sizes):
        """Guards against messages lost or merged at block boundaries."""
        reader = frames.FrameReader(wire_pb2.Envelope)
        stream = b''.join(frames.encode(_ping(nonce)) for nonce in nonces)
        received = []
        for size in [*sizes, len(stream) + 1]:
            received.extend(reader.feed(stream[:size]))
            stream = stream[size:]
        self.assertEqual([each.ping.nonce for each in received], nonces)

    def test_oversized_length(self):
        """Guards against buffering a frame of any length."""
        with self.assertRaises(errors.FrameTooLarge):
            list(
                self.reader.feed(struct.pack('>I', frames.MAX_FRAME_BYTES + 1))
            )

    def test_frame_at_the_limit(self):
        """Guards against a limit that is off by one."""
        frame = struct.pack('>I', 5) + b'aaaaa'
        with mock.patch.object(frames, 'MAX_FRAME_BYTES', 5):
            with self.assertRaises(errors.ProtocolViolation) as caught:
                list(self.reader.feed(frame))
        self.assertNotIsInstance(caught.exception, errors.FrameTooLarge)

    def test_invalid_message(self):
        """Guards against an unhandled exception of the parser."""
        with self.assertRaises(errors.ProtocolViolation):
            list(self.reader.feed(struct.pack('>I', 3) + b'\xff\xff\xff'))

    def test_messages_before_an_invalid_one(self):
        """Guards against losing complete messages before an invalid one."""
        frame = frames.encode(_ping(7)) + struct.pack('>I', 3) + b'\xff' * 3
        received = []
        with self.assertRaises(errors.ProtocolViolation):
            for message in self.reader.feed(frame):
                received.append(message.ping.nonce)
        self.assertEqual(received, [7])

    def test_encode_refuses_an_oversized_message(self):
        """Guards against a frame that the peer would refuse."""
        answer = wire_pb2.QueryAnswer(rows=bytes(frames.MAX_FRAME_BYTES))
        with self.assertRaises(errors.FrameTooLarge):
            frames.encode(wire_pb2.Envelope(query_answer=answer))
