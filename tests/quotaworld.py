"""Hosts, zones and a store in a model without network, for tests of quotas.

The hosts run the code of `cardamomflow.quotas` without `service`. Times are
true seconds; the clock of each host has an offset of its own.
"""

import bisect
import collections
import heapq
import itertools
import random
from typing import NamedTuple

from cardamomflow.accounts import table
from cardamomflow.quotas import allocation, bucket, holders

# Limits whose capacity comes from the burst, and from the reserve.
ACCOUNTS = (
    table.Account('orders', rate_per_s=20, burst=20),
    table.Account('orders', rate_per_s=20, burst=100),
    table.Account('orders', rate_per_s=60),
)
RESERVE = bucket.Reserve()
# What all callers do for some time, and for how many seconds.
PHASES = {'idle': (1, 4), 'hoard': (0.3, 3), 'spend': (4, 8)}
# Share of the histories without faults after the start.
CALM_SHARE = 0.25
# Shares of the turns and messages that something happens to.
LISTED_AT_START_SHARE = 0.8
STORE_OUTAGE_SHARE = 0.5
FOLLOWING_SHARE = 0.8
LATE_VIEW_SHARE = 0.1
NOT_ASKING_SHARE = 0.2
RETURN_SHARE = 0.1
ODD_MESSAGE_SHARE = 0.1
LATE_MESSAGE_SHARE = 0.15
LEASE_S = 10.0
RENEWAL_S = 3.0


class Entry(NamedTuple):
    """Entry of a host in the store."""

    zone: str
    expires_at: float


class Store:
    """The listed hosts, with all former lists."""

    def __init__(self):
        self._entries_by_id = {}
        self._times = [float('-inf')]
        self._lists = [{}]

    def renew(self, host_id, zone, now):
        self._entries_by_id[host_id] = Entry(zone, now + LEASE_S)
        self.expire(now)

    def remove(self, host_id, now):
        self._entries_by_id.pop(host_id, None)
        self.expire(now)

    def expire(self, now):
        for host_id, entry in list(self._entries_by_id.items()):
            if entry.expires_at <= now:
                del self._entries_by_id[host_id]
        listed = {
            host_id: entry.zone
            for host_id, entry in self._entries_by_id.items()
        }
        if listed != self._lists[-1]:
            self._times.append(now)
            self._lists.append(listed)

    def revision_at(self, time):
        return bisect.bisect_right(self._times, time) - 1

    def list_at(self, revision):
        ids_by_zone = {}
        for host_id, zone in self._lists[revision].items():
            ids_by_zone.setdefault(zone, set()).add(host_id)
        return ids_by_zone


class Host:
    """One host; a restart replaces the process and keeps the id."""

    def __init__(self, host_id, zone, offset_s, account, zone_count):
        self.host_id = host_id
        self.zone = zone
        self.offset_s = offset_s
        self._account = account
        self._limit = bucket.zone_limit(account, zone_count, RESERVE)
        self.is_running = False
        self.paused_until = 0.0
        self.reaches_store = True
        self.isolated_until = 0.0
        self.renewed_at = float('-inf')
        self.revision = 0
        self.inbox = []

    def start(self, now):
        local = now + self.offset_s
        self.is_running = True
        self.holders = holders.Holders(self.host_id, self.zone, local)
        self.tokens = allocation.Allocation(
            self._account, self._limit, allocation.Askers()
        )
        self.renewed_at = float('-inf')
        self.revision = 0
        self.revision_before_pause = None

    def is_awake(self, now):
        return (
            self.is_running
            and self.paused_until <= now
            and self.revision_before_pause is None
        )

    def update_role(self, now):
        local = now + self.offset_s
        name = self._account.name
        self.tokens.set_role(
            self.holders.acting_since(name, local),
            local,
            is_unsettled=self.holders.is_unsettled(name, local),
        )
        return local

    @property
    def has_reserve(self):
        return self.is_running and self.tokens._reserve is not None


class World:
    """One history: faults, messages and flooding callers, from a seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.account = self.random.choice(ACCOUNTS)
        zones = self.random.choice((1, 1, 2))
        hosts_per_zone = self.random.randint(2, 3)
        # Without trouble, the hosts use up what they can get.
        self._is_calm = self.random.random() < CALM_SHARE
        self._fault_share = self.random.uniform(0, 0.08)
        self._phase = 'idle'
        self._phase_until = 0.0
        self.now = 0.0
        self.store = Store()
        self.used = []
        self.issued_by_reserve = []
        self._requests = itertools.count(1)
        self._order = itertools.count()
        self.cut_zone_until = 0.0
        self.cut_zone = ''
        self.hosts = [
            Host(
                f'h{zone}{number}',
                f'z{zone}',
                self.random.uniform(-1e4, 1e4),
                self.account,
                zones,
            )
            for zone in range(zones)
            for number in range(hosts_per_zone)
        ]
        self.hosts_by_id = {host.host_id: host for host in self.hosts}
        for host in self.hosts:
            if self.random.random() < LISTED_AT_START_SHARE:
                host.start(0.0)
        limit = bucket.zone_limit(self.account, zones, RESERVE)
        # Most hosts of a zone that had a reserve bucket at one time.
        self.reserves_by_zone = dict.fromkeys(
            (host.zone for host in self.hosts), 0
        )
        # What one reserve bucket may add in a window.
        self.reserve_share = (
            limit.unsettled.capacity
            + limit.unsettled.rate_per_s
            * (RESERVE.window_s + bucket.SINGLE_LOAN_S)
        )
        # What the design aims at, which is below the bound of the rules.
        self.allowed = (
            zones * limit.capacity + self.account.rate_per_s * RESERVE.window_s
        )

    def run(self, duration_s):
        while self.now < duration_s:
            self.now += self.random.uniform(0.1, 0.9)
            self._break_something()
            if self._phase_until <= self.now:
                self._phase = self.random.choice(list(PHASES))
                self._phase_until = self.now + self.random.uniform(
                    *PHASES[self._phase]
                )
            self.store.expire(self.now)
            for host in self.hosts:
                if host.is_running and host.paused_until <= self.now:
                    self._step(host)
                    self._count_reserves()
        return self

    @property
    def allowed_with_reserve(self):
        """What settled holders and all reserve buckets may issue.

        With one reserve bucket in each zone, this is within the rules.
        """
        return self.allowed + self.allowed_by_reserve

    @property
    def allowed_by_reserve(self):
        """What the reserve buckets alone may issue."""
        return sum(self.reserves_by_zone.values()) * self.reserve_share

    def _count_reserves(self):
        count_by_zone = collections.Counter(
            host.zone for host in self.hosts if host.has_reserve
        )
        for zone, count in count_by_zone.items():
            self.reserves_by_zone[zone] = max(
                self.reserves_by_zone[zone], count
            )

    def most_in_window(self, window_s):
        """Return the most requests in any window."""
        return _most_in_window(self.used, window_s)

    def most_of_reserve_in_window(self, window_s):
        """Return the most tokens that reserve buckets issued in any window."""
        return _most_in_window(self.issued_by_reserve, window_s)

    # Faults.

    def _break_something(self):
        if self._is_calm or self.random.random() > self._fault_share:
            return
        fault = self.random.choice(
            (
                self._kill,
                self._start,
                self._pause,
                self._cut_from_store,
                self._isolate,
                self._cut_zone,
                self._lose_entry,
                self._change_store,
            )
        )
        fault(self.random.choice(self.hosts))

    def _has_trouble(self, share):
        return not self._is_calm and self.random.random() < share

    def _kill(self, host):
        host.is_running = False

    def _start(self, host):
        host.start(self.now)

    def _pause(self, host):
        if host.is_running and host.paused_until <= self.now:
            host.revision_before_pause = host.revision
        host.paused_until = self.now + self.random.uniform(0, 25)

    def _cut_from_store(self, host):
        host.reaches_store = not host.reaches_store

    def _isolate(self, host):
        host.isolated_until = self.now + self.random.uniform(0, 40)

    def _cut_zone(self, host):
        self.cut_zone = host.zone
        self.cut_zone_until = self.now + self.random.uniform(0, 30)

    def _lose_entry(self, host):
        self.store.remove(host.host_id, self.now)

    def _change_store(self, _):
        is_down = self.random.random() < STORE_OUTAGE_SHARE
        for host in self.hosts:
            host.reaches_store = not is_down

    def _is_cut(self, sender, receiver):
        if max(sender.isolated_until, receiver.isolated_until) > self.now:
            return True
        return (
            sender.zone != receiver.zone
            and self.cut_zone_until > self.now
            and self.cut_zone in (sender.zone, receiver.zone)
        )

    # One turn of a running host.

    def _step(self, host):
        if host.revision_before_pause is not None:
            # An answer that was waiting in the socket seems to be new.
            self._on_view(host, host.revision_before_pause)
            host.revision_before_pause = None
        while host.inbox and host.inbox[0][0] <= self.now:
            _, _, handle, arguments = heapq.heappop(host.inbox)
            handle(host, *arguments)
        self._follow(host)
        local = host.update_role(self.now)
        for other_id in host.holders.hosts_to_ask([self.account.name], local):
            self._post(host, other_id, self._on_check, host.host_id, local)
        self._borrow(host, local)
        self._spend(host, local)

    def _follow(self, host):
        if not host.reaches_store or self.random.random() > FOLLOWING_SHARE:
            return
        if self.now - host.renewed_at >= RENEWAL_S:
            host.renewed_at = self.now
            self.store.renew(host.host_id, host.zone, self.now)
        late_s = 0.0
        if self.random.random() < LATE_VIEW_SHARE:
            late_s = self.random.uniform(0, holders.CONFIRMATION_ERROR_S)
        revision = self.store.revision_at(self.now - late_s)
        if revision < host.revision:
            return
        host.revision = revision
        self._on_view(host, revision)

    def _on_view(self, host, revision):
        local = self.now + host.offset_s
        host.holders.on_members(self.store.list_at(revision), local)
        host.holders.on_confirmed(local, local)

    def _borrow(self, host, local):
        if self._phase == 'idle' or self._has_trouble(NOT_ASKING_SHARE):
            return
        zones = [host.zone, *host.holders.zones()]
        holder_id = host.holders.holder_of(
            self.account.name, self.random.choice(zones)
        )
        if holder_id in (None, host.host_id):
            return
        request_id = next(self._requests)
        host.tokens.loans.on_request_sent(request_id, local)
        wanted = self.random.choice((1, 5, 100))
        self._post(
            host, holder_id, self._on_request, host.host_id, request_id, wanted
        )

    def _spend(self, host, local):
        if self._phase != 'spend':
            return
        permits = []
        permit = host.tokens.take(local)
        while permit is not None:
            permits.append(permit)
            permit = host.tokens.take(local)
        if permits and self.random.random() < RETURN_SHARE:
            host.tokens.put_back(permits.pop(), local)
        self.issued_by_reserve.append(
            (self.now, sum(permit.is_reserve for permit in permits))
        )
        self.used.append((self.now, len(permits)))

    # Messages.

    def _post(self, sender, receiver_id, handle, *arguments):
        receiver = self.hosts_by_id[receiver_id]
        copies = 1
        if self._has_trouble(ODD_MESSAGE_SHARE):
            copies = self.random.choice((0, 2))
        if self._is_cut(sender, receiver):
            return
        for _ in range(copies):
            if receiver.is_awake(self.now) and not self._has_trouble(
                LATE_MESSAGE_SHARE
            ):
                handle(receiver, *arguments)
                continue
            heapq.heappush(
                receiver.inbox,
                (
                    self.now + self.random.uniform(0, 4),
                    next(self._order),
                    handle,
                    arguments,
                ),
            )

    def _on_request(self, host, asker_id, request_id, wanted):
        local = host.update_role(self.now)
        asker = self.hosts_by_id[asker_id]
        if asker.zone == host.zone:
            host.tokens.record_asked(wanted, local)
        grant = host.tokens.lend(
            asker_id, wanted, local, is_foreign=asker.zone != host.zone
        )
        if host.has_reserve:
            self.issued_by_reserve.append((self.now, grant.tokens))
        self._post(host, asker_id, self._on_grant, request_id, grant)

    def _on_grant(self, host, request_id, grant):
        local = self.now + host.offset_s
        host.tokens.loans.on_grant(
            request_id, grant.tokens, grant.valid_s, local
        )

    def _on_check(self, host, asker_id, asked_at):
        local = host.update_role(self.now)
        reply = holders.ViewReply(
            host.holders.view_hash, host.holders.is_witness(local)
        )
        self._post(
            host, asker_id, self._on_reply, host.host_id, reply, asked_at
        )

    def _on_reply(self, host, other_id, reply, asked_at):
        local = self.now + host.offset_s
        host.holders.on_view_reply(other_id, reply, asked_at, local)


def _most_in_window(counts_by_time, window_s):
    """Return the largest sum of (time, count) pairs in any window."""
    counts_by_time = sorted(counts_by_time)
    most, total, first = 0, 0, 0
    for time, count in counts_by_time:
        total += count
        while counts_by_time[first][0] <= time - window_s:
            total -= counts_by_time[first][1]
            first += 1
        most = max(most, total)
    return most
