"""Cost and shares of the limits of accounts at the design size.

420 hosts share the limits of 1,000 accounts in a model without network, whose
bytes are those of the real messages. Command: `python -m bench.run quotas`; it
takes about a minute. Not modelled: losses, and changes of the holders.
"""

import itertools
import random
import time
import tracemalloc
from collections.abc import Iterable
from typing import Any

import curio

from bench import result
from cardamomflow import linkkeepalive, links, webserver
from cardamomflow.accounts import table
from cardamomflow.generated import wire_pb2
from cardamomflow.quotas import allocation, bucket, holders, messages
from lab import quotas

ZONES = 4
HOSTS_PER_ZONE = 105
HOSTS = ZONES * HOSTS_PER_ZONE
ACCOUNTS = 1000
REQUESTS_PER_S = 65_000.0
# Demand of each account in its limit.
LOAD = 0.9
# The account of rank n sends in proportion to n to this power.
SKEW = -0.8
DURATION_S = 4.0
SETTLE_S = 2.0
# What the control plane of a node may use.
MAX_BYTES_PER_S = 15_000.0
MAX_CPU_PERCENT = 3.0
MAX_MEMORY_MB = 128.0
# Callers can bear that 1 in 20 requests comes again; no page sets a figure.
MAX_REFUSED_SHARE = 0.05
MAX_MOVE_S = 2.0
SERVED_SHARE = 0.95
BIN_S = 0.1
QUESTIONS = 3000
_ADDRESS = '127.0.0.1'
_MB = 1e6
_PERCENT = 100
_SEED = 20261206


def _accounts() -> list[table.Account]:
    """Return accounts of very different sizes that use most of their limit."""
    weights = [(rank + 1) ** SKEW for rank in range(ACCOUNTS)]
    scale = REQUESTS_PER_S / sum(weights) / LOAD
    return [
        table.Account(
            f'account-{rank:03}',
            rate_per_s=weight * scale,
            burst=weight * scale,
        )
        for rank, weight in enumerate(weights)
    ]


def _add_skewed_requests(
    fleet: quotas.Fleet, accounts: Iterable[table.Account]
) -> None:
    """Let each account reach some hosts, from one to all, unevenly."""
    chooser = random.Random(_SEED)
    for account in accounts:
        count = min(HOSTS, max(1, round(HOSTS ** chooser.random())))
        # A host answers a few hundred requests in a second.
        count = max(count, round(account.rate_per_s / 100))
        places = chooser.sample(fleet.places, min(HOSTS, count))
        shares = [chooser.expovariate(1) for _ in places]
        fleet.add_requests(
            account.name,
            {
                place: LOAD * account.rate_per_s * share / sum(shares)
                for place, share in zip(places, shares, strict=True)
            },
            0,
            DURATION_S,
        )


class _Holder(linkkeepalive.KeepaliveHandler):
    """Grants one token for each request."""

    async def on_message(self, link: Any, message: Any) -> None:
        grant = allocation.Grant(1, bucket.SINGLE_LOAN_S, 0, is_holder=True)
        await link.post(
            messages.build_answer(message.token_request.request_id, grant)
        )

    async def on_closed(self, link: Any) -> None:
        """Links end with the benchmark."""


class _Asker(_Holder):
    """Waits for one answer at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.answered = curio.Event()

    async def on_message(self, link: Any, message: Any) -> None:
        await self.answered.set()


async def _accept(listener: Any) -> None:
    sock, _ = await listener.accept()
    links.set_no_delay(sock)
    await links.Link(sock, wire_pb2.Envelope, _Holder()).run()


async def _round_trip_cost_s() -> float:
    """Return the processor time of a question at both ends together."""
    listener = webserver.listen(_ADDRESS, 0)
    asker = _Asker()
    await curio.spawn(_accept, listener, daemon=True)
    link = await links.connect(
        _ADDRESS, listener.getsockname()[1], wire_pb2.Envelope, asker
    )
    await curio.spawn(link.run, daemon=True)
    request = messages.build_request('account-000', 1, '')
    started = time.process_time()
    for number in range(QUESTIONS):
        request.request_id = number
        asker.answered.clear()
        await link.post(wire_pb2.Envelope(token_request=request))
        await asker.answered.wait()
    return (time.process_time() - started) / QUESTIONS


def _fleet_rows() -> list[result.Result]:
    accounts = _accounts()
    fleet = quotas.Fleet(ZONES, HOSTS_PER_ZONE, accounts, _SEED)
    _add_skewed_requests(fleet, accounts)
    started = time.process_time()
    fleet.run(DURATION_S)
    cpu_s = time.process_time() - started
    # A question is two messages.
    cpu_s += fleet.messages / 2 * curio.run(_round_trip_cost_s)
    admitted = [outcome.is_admitted for outcome in fleet.outcomes]
    settled = [
        outcome.is_admitted
        for outcome in fleet.outcomes
        if outcome.time >= SETTLE_S
    ]
    by_host = sorted(fleet.bytes_by_place.values())
    baseline = f'{len(admitted)} requests of {ACCOUNTS} accounts, {HOSTS} hosts'
    return [
        result.Result(
            'quota_bytes_busiest_host',
            by_host[-1] / DURATION_S,
            'B/s',
            MAX_BYTES_PER_S,
            'at_most',
            baseline,
        ),
        result.Result(
            'quota_bytes_mean_host',
            sum(by_host) / HOSTS / DURATION_S,
            'B/s',
            MAX_BYTES_PER_S,
            'at_most',
            baseline,
        ),
        result.Result(
            'quota_cpu',
            _PERCENT * cpu_s / HOSTS / DURATION_S,
            '%',
            MAX_CPU_PERCENT,
            'at_most',
            'decisions, the model, and messages over loopback',
        ),
        result.Result(
            'quota_refused_in_limit',
            1 - sum(settled) / len(settled),
            'share',
            MAX_REFUSED_SHARE,
            'at_most',
            f'skewed demand of {LOAD:g} of each limit; bound chosen here',
        ),
    ]


def _move_s() -> float:
    """Return the time until demand that moves to another zone is served."""
    account = table.Account('moving', rate_per_s=400, burst=400)
    fleet = quotas.Fleet(ZONES, HOSTS_PER_ZONE, [account], _SEED)
    moves_at, end = 6.0, 12.0
    for zone, begin, until in ((0, 0, moves_at), (1, moves_at, end)):
        places = [place for place in fleet.places if place.zone == zone][:20]
        fleet.add_requests(
            account.name,
            dict.fromkeys(places, LOAD * account.rate_per_s / len(places)),
            begin,
            until,
        )
    fleet.run(end)
    served_from = moves_at
    for number in itertools.count():
        begin = moves_at + number * BIN_S
        if begin + BIN_S > end:
            return served_from - moves_at
        share = fleet.admitted_share(account.name, begin, begin + BIN_S)
        if share < SERVED_SHARE:
            served_from = begin + BIN_S
    return end - moves_at


def _memory_mb() -> float:
    """Return the memory of one host that asks for and holds all accounts."""
    accounts = _accounts()
    ids_by_zone = {
        f'zone-{zone}': {
            f'host-{zone}-{number}' for number in range(HOSTS_PER_ZONE)
        }
        for zone in range(ZONES)
    }
    tracemalloc.start()
    roles = holders.Holders('host-0-0', 'zone-0', 0)
    roles.on_members(ids_by_zone, 0)
    askers = allocation.Askers()
    states = []
    for account in accounts:
        for zone in ids_by_zone:
            roles.holder_of(account.name, zone)
        limit = bucket.zone_limit(account, ZONES, bucket.Reserve())
        tokens = allocation.Allocation(account, limit, askers)
        tokens.set_role(0, 0)
        for request_id in range(4):
            tokens.loans.on_request_sent(request_id, 1)
            tokens.loans.on_grant(request_id, 2, 1, 1)
        for host in range(HOSTS_PER_ZONE):
            tokens.lend(host, 1, 1, is_foreign=False)
        states.append(tokens)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MB


def run() -> list[result.Result]:
    """Measure the limits at the design size."""
    return [
        *_fleet_rows(),
        result.Result(
            'quota_moved_demand',
            _move_s(),
            's',
            MAX_MOVE_S,
            'at_most',
            f'from then on {SERVED_SHARE:g} of the requests are admitted',
        ),
        result.Result(
            'quota_memory',
            _memory_mb(),
            'MB',
            MAX_MEMORY_MB,
            'at_most',
            'a host that holds all accounts and has refused every host',
        ),
    ]
