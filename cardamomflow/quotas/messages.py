"""Token messages between hosts; sans-I/O.

Leaves out what the receiver can tell: these messages are most of the control
traffic of a host.
"""

import math

from cardamomflow.generated import wire_pb2
from cardamomflow.quotas import allocation, bucket

# Numbers of requests start again after this many: an answer comes within a
# second or is useless, and small numbers take two bytes.
REQUEST_IDS = 16_384
_MS = 1000
_SINGLE_MS = int(bucket.SINGLE_LOAN_S * _MS)


def build_request(
    account: str, wanted: int, asked_by: str
) -> wire_pb2.TokenRequest:
    """Return a request without its number.

    Parameters
    ----------
    account : str
    wanted : int
    asked_by : str
        Own host id for a host of another zone, otherwise empty.
    """
    return wire_pb2.TokenRequest(
        account=account,
        tokens=0 if wanted == 1 else wanted,
        asked_by=asked_by,
    )


def wanted_tokens(request: wire_pb2.TokenRequest) -> int:
    """Return how many tokens a request asks for."""
    return max(1, request.tokens)


def build_answer(request_id: int, grant: allocation.Grant) -> wire_pb2.Envelope:
    """Return the answer to a request."""
    if grant.tokens:
        valid_ms = max(1, int(grant.valid_s * _MS))
        answer = wire_pb2.TokenGrant(
            request_id=request_id,
            tokens=grant.tokens,
            valid_ms=0 if valid_ms == _SINGLE_MS else valid_ms,
        )
    else:
        answer = wire_pb2.TokenGrant(
            request_id=request_id,
            wait_ms=math.ceil(grant.wait_s * _MS),
            is_holder=grant.is_holder,
        )
    return wire_pb2.Envelope(token_grant=answer)


def parse_answer(message: wire_pb2.TokenGrant) -> allocation.Grant:
    """Return the grant of an answer."""
    return allocation.Grant(
        message.tokens,
        (message.valid_ms or _SINGLE_MS) / _MS,
        message.wait_ms / _MS,
        message.is_holder or message.tokens > 0,
    )
