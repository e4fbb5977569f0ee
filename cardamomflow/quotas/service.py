"""Admission of requests by the limits of their accounts, over the links.

Owns the messages about tokens and the requests that wait for them. The other
modules of this package decide; only this one does I/O. Hosts of the own group
are linked; other holders are dialed when a token is needed.
"""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

import curio

from cardamomflow import (
    aggregatorlinks,
    context,
    errors,
    events,
    linkkeepalive,
    ownership,
    peering,
    routing,
)
from cardamomflow.accounts import table
from cardamomflow.generated import wire_pb2
from cardamomflow.quotas import (
    allocation,
    borrowing,
    bucket,
    holders,
    messages,
)

# A round trip takes 0.2 ms within a zone and up to 3 ms between zones; a
# holder that borrows first takes two of them. The event loop of a busy host may
# be late by some 10 ms at each of them: with 25 ms, callers within their limits
# were refused.
ASK_TIMEOUT_S = 0.08
# A holder answers before its asker gives up.
BORROW_TIMEOUT_S = 0.04
# For the holder of the own zone and, after its silence, those of others.
REQUEST_WAIT_S = 0.4
# Time for which a silent holder is not asked.
SILENT_S = 0.5
TICK_S = 0.25
ROLE_CHECK_S = 1.0


def boottime() -> float:
    """Return seconds of a clock that goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Question:
    """A request for tokens, or for a view, that was sent to another host."""

    def __init__(
        self, host_id: str, asked: allocation.Allocation | None, sent_at: float
    ) -> None:
        self.host_id = host_id
        self.asked = asked
        self.sent_at = sent_at
        self.answered = curio.Event()
        self.grant: allocation.Grant | None = None


class _Messenger:
    """Sends questions to other hosts and waits for their answers."""

    def __init__(
        self,
        process_context: context.Context,
        peer_client: peering.PeerClient,
        roles: holders.Holders,
        clock: Callable[[], float],
    ) -> None:
        self.far_links = aggregatorlinks.AggregatorLinks(
            process_context, _ignore_holdings
        )
        self._peer_links = peer_client.links
        self._peer_links.on_grant = self.on_grant
        self.far_links.on_grant = self.on_grant
        self._own_id = peer_client.owners.own.host_id
        self._holders = roles
        self._clock = clock
        self._metrics = process_context.metrics
        self._request_ids = itertools.cycle(range(messages.REQUEST_IDS))
        self._questions_by_id: dict[int, _Question] = {}
        self._silent_until_by_host: dict[str, float] = {}

    async def update_links(self, members: Iterable[ownership.Member]) -> None:
        """Set the hosts that may be dialed."""
        await self.far_links.apply(
            (),
            [
                routing.Aggregator(member.host_id, member.address, member.port)
                for member in members
                if member.host_id != self._own_id
            ],
        )

    def may_ask(self, host_id: str, now: float) -> bool:
        """Return whether a host is another one that is not silent."""
        if host_id == self._own_id:
            return False
        return self._silent_until_by_host.get(host_id, 0) <= now

    def forget(self, now: float) -> None:
        """Forget questions whose answers would be useless."""
        self._questions_by_id = {
            request_id: question
            for request_id, question in self._questions_by_id.items()
            if now - question.sent_at <= bucket.LOAN_S
        }
        self._silent_until_by_host = {
            host_id: until
            for host_id, until in self._silent_until_by_host.items()
            if until > now
        }

    async def ask_for_view(self, host_id: str) -> None:
        """Ask a host for its view of the zone; the answer goes to the roles."""
        await self._send(host_id, None, wire_pb2.TokenRequest())

    async def ask(
        self, tokens: allocation.Allocation, host_id: str, wanted: int
    ) -> allocation.Grant | None:
        """Ask one holder; return None without an answer in time."""
        asked_by = '' if self._holders.is_near(host_id) else self._own_id
        question = await self._send(
            host_id,
            tokens,
            messages.build_request(tokens.account.name, wanted, asked_by),
        )
        if question is not None:
            async with curio.ignore_after(ASK_TIMEOUT_S):
                await question.answered.wait()
            if question.grant is not None:
                return question.grant
        self._metrics.increment('host.tokens_unanswered')
        self._silent_until_by_host[host_id] = self._clock() + SILENT_S
        return None

    async def on_grant(
        self, host_id: str, message: wire_pb2.TokenGrant
    ) -> None:
        """Use the answer to a question, once, also when it comes late."""
        question = self._questions_by_id.get(message.request_id)
        if question is None or question.host_id != host_id:
            return
        del self._questions_by_id[message.request_id]
        now = self._clock()
        if question.asked is None:
            reply = holders.ViewReply(message.view_hash, message.is_witness)
            self._holders.on_view_reply(host_id, reply, question.sent_at, now)
            return
        grant = messages.parse_answer(message)
        question.grant = grant
        question.asked.loans.on_grant(
            message.request_id, grant.tokens, grant.valid_s, now
        )
        self._metrics.increment('host.tokens_borrowed', message.tokens)
        await question.answered.set()

    async def _send(
        self,
        host_id: str,
        tokens: allocation.Allocation | None,
        request: wire_pb2.TokenRequest,
    ) -> _Question | None:
        """Send a question; return None if the host has no link."""
        links = self._peer_links
        try:
            if links.link_to(host_id) is None:
                links = self.far_links
                await links.dial(host_id, ASK_TIMEOUT_S)
            question = self._record_question(host_id, tokens, request)
            await links.post(host_id, wire_pb2.Envelope(token_request=request))
        except errors.FlowError:
            return None
        return question

    def _record_question(
        self,
        host_id: str,
        tokens: allocation.Allocation | None,
        request: wire_pb2.TokenRequest,
    ) -> _Question:
        """Give a question its number before it is sent."""
        now = self._clock()
        request.request_id = next(self._request_ids)
        question = _Question(host_id, tokens, now)
        self._questions_by_id[request.request_id] = question
        if tokens is not None:
            tokens.loans.on_request_sent(request.request_id, now)
        return question


class Quotas(peering.TokenServer):
    """The limits of accounts at one host."""

    def __init__(
        self,
        process_context: context.Context,
        peer_client: peering.PeerClient,
        clock: Callable[[], float] = boottime,
    ) -> None:
        """Start without accounts.

        Parameters
        ----------
        process_context : context.Context
        peer_client : peering.PeerClient
            Owns the links to the hosts of the own group.
        clock : callable, optional
            Returns seconds that also pass while the machine is suspended.
        """
        settings = process_context.settings
        self._own = peer_client.owners.own
        zones = {
            self._own.availability_zone,
            *settings.get('availability_zones', ()),
        }
        # Without an address for other hosts, this host is the only one.
        self._is_alone = not peer_client.is_enabled
        self._zone_count = 1 if self._is_alone else len(zones)
        self._reserve = bucket.Reserve(**settings.get('quota', {}))
        self._clock = clock
        self._monotonic = process_context.clock
        self._random = process_context.random
        self._metrics = process_context.metrics
        self._journal = process_context.journal
        self._holders = holders.Holders(
            self._own.host_id,
            self._own.availability_zone,
            clock(),
            is_alone=self._is_alone,
        )
        self._messenger = _Messenger(
            process_context, peer_client, self._holders, clock
        )
        self._accounts_by_name: dict[str, table.Account] = {}
        self._allocations_by_name: dict[str, allocation.Allocation] = {}
        self._askers = allocation.Askers()
        self._members: list[ownership.Member] = []
        # Inquiries in progress; requests for the same account share one.
        self._done_by_name: dict[str, curio.Event] = {}
        self._turn = 0
        self._had_roles = False
        self._metrics.register_gauge(
            'host.token_roles', lambda: self._holders.role_count
        )

    # Updates of the configuration and of the platform.

    async def apply(self, accounts: table.AccountTable) -> None:
        """Apply the limits of a new configuration."""
        now = self._clock()
        had_limits = bool(self._accounts_by_name)
        self._accounts_by_name = {
            name: account
            for name, account in accounts.accounts_by_name.items()
            if account.is_limited
        }
        self._holders.retain(self._accounts_by_name.keys())
        for name in list(self._allocations_by_name):
            if name in self._accounts_by_name:
                account = self._accounts_by_name[name]
                self._allocations_by_name[name].configure(
                    account, self._limit(account), now
                )
            else:
                del self._allocations_by_name[name]
        if bool(self._accounts_by_name) != had_limits:
            await self._messenger.update_links(
                self._members if self._accounts_by_name else ()
            )

    async def on_members(self, members: Iterable[ownership.Member]) -> None:
        """Apply the list of the hosts."""
        members = sorted(members)
        ids_by_zone: dict[str, set[str]] = {}
        for member in members:
            ids_by_zone.setdefault(member.availability_zone, set()).add(
                member.host_id
            )
        self._holders.on_members(ids_by_zone, self._clock())
        if members != self._members:
            self._members = members
            await self._messenger.update_links(
                self._members if self._accounts_by_name else ()
            )

    def on_confirmed(self, confirmed_at: float) -> None:
        """Record when the platform confirmed the list, in monotonic seconds."""
        now = self._clock()
        age_s = self._monotonic() - confirmed_at
        self._holders.on_confirmed(now - age_s, now)

    # Requests of callers.

    async def admit(
        self, account: table.Account | None, deadline: float
    ) -> borrowing.Permit | None:
        """Take a token for a request, or refuse it.

        Parameters
        ----------
        account : table.Account or None
        deadline : float
            Monotonic time in seconds at which the request is late.

        Returns
        -------
        borrowing.Permit or None
            What `give_back` needs; None for a request without a limit.

        Raises
        ------
        errors.QuotaExceeded, errors.QuotaUnknown
            The account has used up its limit, or no holder has answered.
        """
        if account is None or account.name not in self._accounts_by_name:
            return None
        now = self._clock()
        tokens = self._allocation(account.name, now)
        tokens.record_demand(now)
        permit = tokens.take(now)
        if permit is None:
            permit = await self._wait_for_token(tokens, deadline)
        self._metrics.increment('host.tokens_used')
        await self._ask_ahead(tokens, now)
        return permit

    def give_back(
        self, account: table.Account | None, permit: borrowing.Permit | None
    ) -> None:
        """Return the token of a request that was refused as not run."""
        if account is None or permit is None:
            return
        tokens = self._allocations_by_name.get(account.name)
        if tokens is not None:
            now = self._clock()
            self._set_role(tokens, now)
            tokens.put_back(permit, now)
            self._metrics.increment('host.tokens_returned')

    # Requests of other hosts.

    async def on_token_request(
        self, link: linkkeepalive.WireLink, request: wire_pb2.TokenRequest
    ) -> None:
        """Answer a request for tokens, or for the view of the zone."""
        now = self._clock()
        if not request.account:
            view = wire_pb2.TokenGrant(
                request_id=request.request_id,
                view_hash=self._holders.view_hash,
                is_witness=self._holders.is_witness(now),
            )
            await link.post_if_open(wire_pb2.Envelope(token_grant=view))
            return
        if request.account not in self._accounts_by_name:
            await link.post_if_open(
                messages.build_answer(request.request_id, allocation.NOT_HOLDER)
            )
            return
        tokens = self._allocation(request.account, now)
        if not request.asked_by:
            tokens.record_asked(messages.wanted_tokens(request), now)
        grant = self._lend(tokens, link, request)
        may_borrow = (
            grant.is_holder
            and not grant.tokens
            and not request.asked_by
            and tokens.current_refusal(now) is None
        )
        if may_borrow:
            # In another task: the link delivers what the question needs.
            await curio.spawn(
                self._borrow_and_answer, tokens, link, request, daemon=True
            )
            return
        await link.post_if_open(
            messages.build_answer(request.request_id, grant)
        )
        if grant.is_holder:
            await self._ask_ahead(tokens, now)

    # Background work.

    async def run(self) -> None:
        """Check the roles and borrow ahead until cancelled."""
        checked_at = float('-inf')
        while True:
            now = self._clock()
            self._holders.tick(now)
            if now - checked_at >= ROLE_CHECK_S:
                checked_at = now
                await self._check_roles(now)
            for tokens in list(self._allocations_by_name.values()):
                if tokens.is_holder:
                    await self._ask_ahead(tokens, now)
            await curio.sleep(TICK_S)

    async def run_links(self) -> None:
        """Maintain the links to hosts of other groups until cancelled."""
        await self._messenger.far_links.run()

    async def stop(self) -> None:
        """Close the links to hosts of other groups."""
        await self._messenger.far_links.stop()

    # Tokens.

    def _allocation(self, name: str, now: float) -> allocation.Allocation:
        """Return the tokens of a limited account, with the role of now."""
        tokens = self._allocations_by_name.get(name)
        if tokens is None:
            account = self._accounts_by_name[name]
            tokens = allocation.Allocation(
                account,
                self._limit(account),
                self._askers,
                is_alone=self._is_alone,
            )
            self._allocations_by_name[name] = tokens
        self._set_role(tokens, now)
        return tokens

    def _set_role(self, tokens: allocation.Allocation, now: float) -> None:
        name = tokens.account.name
        tokens.set_role(
            self._holders.acting_since(name, now),
            now,
            is_unsettled=self._holders.is_unsettled(name, now),
        )

    def _limit(self, account: table.Account) -> bucket.Limit:
        return bucket.zone_limit(account, self._zone_count, self._reserve)

    def _lend(
        self,
        tokens: allocation.Allocation,
        link: linkkeepalive.WireLink,
        request: wire_pb2.TokenRequest,
    ) -> allocation.Grant:
        grant = tokens.lend(
            link,
            messages.wanted_tokens(request),
            self._clock(),
            is_foreign=bool(request.asked_by),
        )
        self._metrics.increment('host.tokens_lent', grant.tokens)
        return grant

    async def _borrow_and_answer(
        self,
        tokens: allocation.Allocation,
        link: linkkeepalive.WireLink,
        request: wire_pb2.TokenRequest,
    ) -> None:
        """Ask other zones before a request of the own zone is refused."""
        done = await self._start_inquiry(tokens)
        async with curio.ignore_after(BORROW_TIMEOUT_S):
            await done.wait()
        # The role may have ended meanwhile.
        self._allocation(request.account, self._clock())
        await link.post_if_open(
            messages.build_answer(
                request.request_id, self._lend(tokens, link, request)
            )
        )

    async def _wait_for_token(
        self, tokens: allocation.Allocation, deadline: float
    ) -> borrowing.Permit:
        """Ask for tokens until there is one, a refusal, or no time."""
        wait_s = min(REQUEST_WAIT_S, deadline - self._monotonic())
        give_up_at = self._clock() + wait_s
        refusal = tokens.current_refusal(self._clock())
        while refusal is None:
            remaining_s = give_up_at - self._clock()
            if remaining_s <= 0:
                refusal = allocation.NO_ANSWER
                break
            done = await self._start_inquiry(tokens)
            async with curio.ignore_after(remaining_s):
                await done.wait()
            permit = tokens.take(self._clock())
            if permit is not None:
                return permit
            refusal = tokens.current_refusal(self._clock())
        raise self._create_refusal(tokens, refusal)

    def _create_refusal(
        self, tokens: allocation.Allocation, refusal: allocation.Refusal
    ) -> errors.FlowError:
        """Return the error for a request without a token, and count it."""
        name = tokens.account.name
        cause = 'exceeded' if refusal.is_known else 'unknown'
        self._metrics.increment(f'host.tokens_refused.{cause}')
        if not refusal.is_known:
            return errors.QuotaUnknown(
                f'no holder of the limit of account {name} can be reached',
                retry_after_s=refusal.wait_s,
            )
        spread_s = tokens.retry_spread_s(self._clock())
        return errors.QuotaExceeded(
            f'account {name} has used up its limit',
            retry_after_s=refusal.wait_s + self._random.uniform(0, spread_s),
        )

    # Questions to other hosts.

    async def _ask_ahead(
        self, tokens: allocation.Allocation, now: float
    ) -> None:
        """Ask for tokens before a request needs them."""
        if (
            tokens.account.name not in self._done_by_name
            and tokens.should_ask_ahead(now)
            and tokens.current_refusal(now) is None
        ):
            await self._start_inquiry(tokens)

    async def _start_inquiry(
        self, tokens: allocation.Allocation
    ) -> curio.Event:
        """Ask for tokens, unless that is in progress; return its end."""
        name = tokens.account.name
        done = self._done_by_name.get(name)
        if done is None:
            done = curio.Event()
            self._done_by_name[name] = done
            await curio.spawn(self._inquire, tokens, done, daemon=True)
        return done

    async def _inquire(
        self, tokens: allocation.Allocation, done: curio.Event
    ) -> None:
        now = self._clock()
        inquiry = allocation.Inquiry(
            self._choose_targets(tokens, now), tokens.wanted(now)
        )
        try:
            for host_id in inquiry:
                grant = await self._messenger.ask(
                    tokens, host_id, inquiry.wanted
                )
                if grant is not None:
                    inquiry.on_grant(
                        grant, is_decisive=self._holders.is_near(host_id)
                    )
        finally:
            if not inquiry.granted:
                tokens.on_refused(inquiry.wait_s, self._clock())
            del self._done_by_name[tokens.account.name]
            await done.set()

    def _choose_targets(
        self, tokens: allocation.Allocation, now: float
    ) -> list[str]:
        """Return the holders to ask, that of the own zone first.

        The others take turns, so that no zone lends all the tokens.
        """
        if self._is_alone:
            return []
        name = tokens.account.name
        zones = self._holders.zones()
        if zones:
            self._turn = (self._turn + 1) % len(zones)
            zones = [*zones[self._turn :], *zones[: self._turn]]
        if not tokens.is_holder:
            zones.insert(0, self._own.availability_zone)
        targets = (self._holders.holder_of(name, zone) for zone in zones)
        return [
            host_id
            for host_id in targets
            if host_id is not None and self._messenger.may_ask(host_id, now)
        ]

    # Roles.

    async def _check_roles(self, now: float) -> None:
        """Start and end roles, and forget what is no longer needed."""
        for name in self._accounts_by_name:
            is_holder = self._holders.acting_since(name, now) is not None
            if is_holder or self._holders.is_unsettled(name, now):
                # The bucket fills from now on.
                self._allocation(name, now)
        for name, tokens in list(self._allocations_by_name.items()):
            self._set_role(tokens, now)
            tokens.loans.forget_requests(now - bucket.LOAN_S)
            if tokens.is_unused(now) and name not in self._done_by_name:
                del self._allocations_by_name[name]
        self._messenger.forget(now)
        self._log_roles()
        for host_id in self._holders.hosts_to_ask(self._accounts_by_name, now):
            await curio.spawn(
                self._messenger.ask_for_view, host_id, daemon=True
            )

    def _log_roles(self) -> None:
        has_roles = self._holders.role_count > 0
        if has_roles != self._had_roles:
            self._had_roles = has_roles
            self._journal.info(
                events.Event.TOKEN_HOLDER, accounts=self._holders.role_count
            )


def _ignore_holdings(_: Any) -> None:
    """Ignore holdings updates, which hosts do not send."""
