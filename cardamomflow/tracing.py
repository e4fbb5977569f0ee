"""Trace spans of requests, one for each hop; owns the stored traces.

The OpenTelemetry SDK is not used: its batch processors start threads, and the
processes are single-threaded. Answers carry the spans back, so that the entry
process has the complete trace.
"""

import collections
import random
import time
from collections.abc import Iterable

from cardamomflow.generated import wire_pb2

_TRACE_ID_BYTES = 16
_SPAN_ID_BYTES = 8
_US = 1_000_000
DEFAULT_SAMPLE_SHARE = 0.01
DEFAULT_KEPT_TRACES = 1000


class ActiveSpan:
    """A span that has not ended."""

    def __init__(
        self,
        process: str,
        name: str,
        trace: wire_pb2.TraceContext,
        span_id: bytes,
    ) -> None:
        """Start the span; its start time is the current time."""
        self._started_at = time.monotonic()
        self._span = wire_pb2.Span(
            trace_id=trace.trace_id,
            span_id=span_id,
            parent_span_id=trace.parent_span_id,
            name=name,
            process=process,
            start_unix_s=time.time(),
        )

    @property
    def context(self) -> wire_pb2.TraceContext:
        """Trace context for the child spans of this span."""
        return wire_pb2.TraceContext(
            trace_id=self._span.trace_id,
            parent_span_id=self._span.span_id,
            sampled=True,
        )

    def finish(self, **attributes: object) -> wire_pb2.Span:
        """Set the duration and attributes, and return the span."""
        elapsed_s = time.monotonic() - self._started_at
        self._span.duration_us = int(elapsed_s * _US)
        for name, value in attributes.items():
            self._span.attributes[name] = str(value)
        return self._span


class Tracer:
    """Starts spans and stores the latest finished traces."""

    def __init__(
        self,
        process_id: str,
        generator: random.Random,
        sample_share: float = DEFAULT_SAMPLE_SHARE,
        kept_traces: int = DEFAULT_KEPT_TRACES,
    ) -> None:
        """Create a tracer without traces.

        Parameters
        ----------
        process_id : str
            Written into each span.
        generator : random.Random
            Source of ids and sampling decisions.
        sample_share : float
            Share of the requests that are traced, from 0 to 1.
        kept_traces : int
            Maximum number of stored traces; the oldest is dropped first.
        """
        self._process_id = process_id
        self._random = generator
        self._sample_share = sample_share
        self._kept_traces = kept_traces
        self._spans_by_request: collections.OrderedDict[
            str, list[wire_pb2.Span]
        ] = collections.OrderedDict()

    def sample(self, *, forced: bool = False) -> wire_pb2.TraceContext:
        """Return the context of a new trace, sampled or not."""
        if not forced and self._random.random() >= self._sample_share:
            return wire_pb2.TraceContext()
        return wire_pb2.TraceContext(
            trace_id=self._random.randbytes(_TRACE_ID_BYTES), sampled=True
        )

    def start_span(
        self, name: str, trace: wire_pb2.TraceContext
    ) -> ActiveSpan | None:
        """Start a span, or return None when the trace is not sampled."""
        if not trace.sampled:
            return None
        span_id = self._random.randbytes(_SPAN_ID_BYTES)
        return ActiveSpan(self._process_id, name, trace, span_id)

    def store_spans(
        self, request_id: str, spans: Iterable[wire_pb2.Span]
    ) -> None:
        """Store the spans of a request; drop the oldest trace if full."""
        kept = self._spans_by_request.setdefault(request_id, [])
        kept.extend(spans)
        while len(self._spans_by_request) > self._kept_traces:
            self._spans_by_request.popitem(last=False)

    def trace_document(self, request_id: str) -> list[dict[str, object]] | None:
        """Return the spans of a stored trace as JSON objects.

        Returns None if there is no trace of the request.
        """
        spans = self._spans_by_request.get(request_id)
        if spans is None:
            return None
        return [_span_document(span) for span in spans]


def _span_document(span: wire_pb2.Span) -> dict[str, object]:
    return {
        'trace_id': span.trace_id.hex(),
        'span_id': span.span_id.hex(),
        'parent_span_id': span.parent_span_id.hex(),
        'name': span.name,
        'process': span.process,
        'start_unix_s': span.start_unix_s,
        'duration_us': span.duration_us,
        'attributes': dict(span.attributes),
    }
