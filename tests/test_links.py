"""Tests of framed connections with faulty peers."""

# Bytes on the wire are joined from parts, and peers nest in their servers.
# flake8: noqa: WPS336, WPS220, WPS421

import os
import select
import signal
import struct
import subprocess
import sys
import time
import unittest
from unittest import mock

import curio

from cardamomflow import errors, frames, links, liveness, webserver
from cardamomflow.generated import wire_pb2
from tests import loops

_PEER_CODE = """
import curio
from tests import test_links
curio.run(test_links.serve_echo)
"""
_PAUSED_CODE = """
import sys
from tests import test_links
test_links.report_link_after_pause(int(sys.argv[1]))
"""
LINE_TIMEOUT_S = 30.0


def _ping(nonce=0):
    return wire_pb2.Envelope(ping=wire_pb2.Ping(nonce=nonce))


class _Handler(links.LinkHandler):
    def __init__(self):
        self.received_nonces = []
        self.closed_count = 0

    async def on_message(self, link, message):
        if message.HasField('ping'):
            self.received_nonces.append(message.ping.nonce)
            pong = wire_pb2.Pong(nonce=message.ping.nonce)
            await link.post(wire_pb2.Envelope(pong=pong))

    async def on_closed(self, link):
        self.closed_count += 1

    def make_ping(self):
        return _ping(999)


class _EchoHandler(_Handler):
    def make_ping(self):
        return None


async def serve_echo():
    """Serve links that answer pings; runs in a separate process.

    Sends no pings, so that it keeps links to a stopped process open.
    """
    listener = webserver.listen('127.0.0.1', 0)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = await listener.accept()
        link = links.Link(sock, wire_pb2.Envelope, _EchoHandler())
        await curio.spawn(link.run, daemon=True)


class LinkTest(unittest.TestCase):
    """A link to a peer on a raw socket."""

    def setUp(self):
        self.handler = _Handler()

    def run_with_peer(self, scenario):
        """Run a scenario with an open link and the raw socket of its peer."""

        async def run():
            listener = webserver.listen('127.0.0.1', 0)
            port = listener.getsockname()[1]
            async with listener:
                link = await links.connect(
                    '127.0.0.1', port, wire_pb2.Envelope, self.handler
                )
                peer, _ = await listener.accept()
                link_task = await curio.spawn(link.run)
                async with peer:
                    result = await scenario(link, peer)
                await link_task.join()
                await curio.sleep(0.01)
                return result

        result = loops.run(run)
        self.assertEqual(self.handler.closed_count, 1)
        return result

    def assert_link_closed(self, block):
        async def scenario(link, peer):
            await peer.sendall(block)
            self.assertEqual(await peer.recv(100), b'')
            self.assertFalse(link.is_open)

        self.run_with_peer(scenario)

    def test_oversized_frame(self):
        """Guards against a peer that announces a frame of any length."""
        self.assert_link_closed(struct.pack('>I', 2**31))

    def test_invalid_frame(self):
        """Guards against a crash of the loop on an invalid message."""
        self.assert_link_closed(struct.pack('>I', 3) + b'\xff\xff\xff')

    def test_truncated_frame(self):
        """Guards against waiting for the rest of a frame from a dead peer."""

        async def scenario(link, peer):
            await peer.sendall(frames.encode(_ping(1))[:-1])
            await peer.shutdown(1)
            await loops.until(lambda: not link.is_open)

        self.run_with_peer(scenario)
        self.assertEqual(self.handler.received_nonces, [])

    def test_post_on_closed_link(self):
        """Guards against the outcome `unknown` if nothing was sent."""

        async def scenario(link, peer):
            await peer.close()
            await loops.until(lambda: not link.is_open)
            with self.assertRaises(errors.ConnectFailed) as caught:
                await link.post(_ping())
            self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

        self.run_with_peer(scenario)

    def test_close_sends_posted_messages(self):
        """Guards against answers lost in a graceful stop.

        The peer also sends continuously: closing a socket with unread input
        resets the connection and discards data that the peer has not read.
        """

        async def scenario(link, peer):
            count = 150
            for number in range(count):
                answer = wire_pb2.QueryAnswer(
                    attempt_id=number, rows=bytes(20_000)
                )
                await link.post(wire_pb2.Envelope(query_answer=answer))
            closing = await curio.spawn(link.close)
            await curio.sleep(0.05)
            reader = frames.FrameReader(wire_pb2.Envelope)
            received = []
            while block := await peer.recv(65_536):
                await peer.sendall(frames.encode(_ping(1)))
                received.extend(reader.feed(block))
                await curio.sleep(0.001)
            await closing.join()
            # The link also answers pings until its last message is sent.
            answers = [
                each.query_answer.attempt_id
                for each in received
                if each.HasField('query_answer')
            ]
            self.assertEqual(answers, list(range(count)))

        self.run_with_peer(scenario)

    def test_close_with_a_peer_that_does_not_read(self):
        """Guards against a stop that waits for ever for one peer."""

        async def scenario(link, _):
            await link.post(self.large_message())
            await link.post(self.large_message())
            started_at = time.monotonic()
            await link.close()
            await loops.until(lambda: self.handler.closed_count)
            self.assertLess(time.monotonic() - started_at, 1.0)

        with mock.patch.object(links, 'CLOSE_TIMEOUT_S', 0.1):
            self.run_with_peer(scenario)

    def large_message(self):
        """Return a message close to the limit of a frame."""
        rows = bytes(frames.MAX_FRAME_BYTES - 100)
        answer = wire_pb2.QueryAnswer(rows=rows)
        return wire_pb2.Envelope(query_answer=answer)

    def test_link_to_slow_reader_is_closed(self):
        """Guards against unbounded memory for a peer that does not read."""

        async def scenario(link, _):
            posted = 0
            with self.assertRaises(errors.ConnectFailed):
                for _ in range(20):
                    await link.post(self.large_message())
                    posted += 1
                    await curio.sleep(0.005)
            self.assertFalse(link.is_open)
            await loops.until(lambda: self.handler.closed_count, 0.5)
            return posted

        self.assertLess(self.run_with_peer(scenario), 10)

    def test_was_written(self):
        """Guards against `not_run` for a message that may have been sent."""

        async def scenario(link, _):
            first = await link.post(_ping())
            self.assertFalse(link.was_written(first))
            await loops.until(lambda: link.was_written(first))
            second = await link.post(_ping())
            self.assertFalse(link.was_written(second))
            await link.close()

        self.run_with_peer(scenario)

    def test_frames_of_one_turn_are_sent_in_one_call(self):
        """Guards against a separate send call for each frame."""

        async def scenario(link, _):
            sends = []
            sendall = link._sock.sendall

            async def counting_sendall(block):
                sends.append(len(block))
                await sendall(block)

            with mock.patch.object(link._sock, 'sendall', counting_sendall):
                for nonce in range(50):
                    last = await link.post(_ping(nonce))
                await loops.until(lambda: link.was_written(last))
            await link.close()
            return len(sends)

        self.assertEqual(self.run_with_peer(scenario), 1)

    def test_flooding_peer_does_not_block_other_tasks(self):
        """Guards against a loop that serves only one peer."""

        async def flood(peer):
            block = frames.encode(
                wire_pb2.Envelope(cancel=wire_pb2.Cancel(attempt_id=1))
            )
            while True:
                await peer.sendall(block * 5000)

        async def scenario(link, peer):
            flooding = await curio.spawn(flood, peer)
            started_at = time.monotonic()
            await curio.sleep(0.2)
            delay_s = time.monotonic() - started_at
            await flooding.cancel()
            await link.close()
            return delay_s

        self.assertLess(self.run_with_peer(scenario), 1.0)

    def test_silent_peer_is_found(self):
        """Guards against waiting for ever for a silent peer."""

        async def scenario(link, _):
            started_at = time.monotonic()
            await loops.until(lambda: not link.is_open)
            return time.monotonic() - started_at

        with (
            mock.patch.multiple(
                liveness.LivenessTimer.__init__,
                __defaults__=(0.1, 0.3),
            ),
            mock.patch.object(links, '_CHECK_INTERVAL_S', 0.05),
        ):
            duration_s = self.run_with_peer(scenario)
        self.assertGreaterEqual(duration_s, 0.3)
        self.assertLess(duration_s, 1.0)

    def test_busy_loop_does_not_close_the_link(self):
        """Guards against closing a link that has unread input.

        The loop of this process blocks for periods too short to be detected
        as a pause, while the traffic of the peer waits in the socket.
        """

        async def scenario(link, peer):
            for _ in range(4):
                await peer.sendall(frames.encode(_ping(1)))
                time.sleep(0.35)  # noqa: ASYNC251  # the fault under test
                await curio.sleep(0)
            is_open = link.is_open
            await link.close()
            return is_open

        with (
            mock.patch.multiple(
                liveness.LivenessTimer.__init__,
                __defaults__=(0.1, 0.3),
            ),
            mock.patch.object(links, '_CHECK_INTERVAL_S', 0.05),
        ):
            self.assertTrue(self.run_with_peer(scenario))


class PausedProcessTest(unittest.TestCase):
    """Processes that signals stop and continue."""

    def setUp(self):
        self.peer = self.start_process(_PEER_CODE)
        self.port = int(self.read_line(self.peer))

    def start_process(self, code, *arguments):
        """Start a process that is killed at the end of the test."""
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-c', code, *arguments],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def read_line(self, process):
        """Return the next output line of a process; fail on a time-out."""
        ready, _, _ = select.select([process.stdout], [], [], LINE_TIMEOUT_S)
        self.assertTrue(ready, f'no line within {LINE_TIMEOUT_S:g} s')
        return process.stdout.readline().decode().strip()

    def test_stopped_peer_is_detected(self):
        """Guards against a link to a stopped process that stays open."""

        async def scenario():
            link = await links.connect(
                '127.0.0.1', self.port, wire_pb2.Envelope, _Handler()
            )
            link_task = await curio.spawn(link.run)
            await link.post(_ping(1))
            await curio.sleep(0.1)
            os.kill(self.peer.pid, signal.SIGSTOP)
            started_at = time.monotonic()
            await link_task.join()
            duration_s = time.monotonic() - started_at
            os.kill(self.peer.pid, signal.SIGCONT)
            return duration_s

        duration_s = loops.run(scenario)
        self.assertLess(duration_s, liveness.SILENCE_LIMIT_S + 1.0)

    def test_own_pause_does_not_close_the_link(self):
        """Guards against a resumed process that closes its working links.

        The process under test has a link to a running peer and is stopped
        for longer than the silence limit.
        """
        paused = self.start_process(_PAUSED_CODE, str(self.port))
        self.assertEqual(self.read_line(paused), 'connected')
        os.kill(paused.pid, signal.SIGSTOP)
        time.sleep(liveness.SILENCE_LIMIT_S + 0.7)
        os.kill(paused.pid, signal.SIGCONT)
        self.assertEqual(self.read_line(paused), 'open=True pongs=True')


def report_link_after_pause(port):
    """Keep a link open and print its state 1.8 s after a pause."""

    async def scenario():
        link = await links.connect(
            '127.0.0.1', port, wire_pb2.Envelope, _Handler()
        )
        await curio.spawn(link.run, daemon=True)
        # The parent may stop this process as soon as the line is printed.
        detector = liveness.PauseDetector(time.monotonic(), 2.0)
        print('connected', flush=True)
        while not detector.check(time.monotonic()):
            await curio.sleep(0.05)
        received_at = link._timer._received_at
        await curio.sleep(1.8)
        received_since = link._timer._received_at > received_at
        print(f'open={link.is_open} pongs={received_since}', flush=True)

    curio.run(scenario)
