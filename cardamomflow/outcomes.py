"""Intents that write or look up the outcome of an attempt; sans-I/O."""

from cardamomflow import attempts, claims, errors, intents, ledgereffects


class Settle(intents.Intent):
    """Writes the outcome of an attempt."""

    def __init__(
        self,
        attempt: attempts.Attempt,
        state: claims.State,
        result: bytes,
        ready_at: float,
    ) -> None:
        """Delay the write until `ready_at` to share it with other outcomes."""
        super().__init__(attempt.key, ready_at)
        self.attempt = attempt
        self.operation = attempt.operation
        self.token = attempt.token
        self.state = state
        self.result = result

    @property
    def needs_requeue(self) -> bool:
        """Whether the operation has to be queued again."""
        return (
            isinstance(self.attempt, attempts.ClaimDeferred)
            and self.state is claims.State.NOT_RUN
        )

    def decide(self, view: intents.View) -> intents.Decision:
        """Write the outcome of an attempt that still has the claim.

        An outcome that is already recorded is not written again.
        """
        effects = (ledgereffects.Settled(self),)
        record = claims.find(view.document, self.operation.member)
        if record is None or record.token != self.token:
            return intents.Decision(intents.Verdict.DONE, effects)
        settled = record.with_outcome(self.state, self.result, view.unix_time)
        if record.state not in _SETTLED_BY_CLAIMANT or settled == record:
            return intents.Decision(intents.Verdict.DONE, effects)
        if view.size + len(settled.result) * 4 // 3 > claims.MAX_VALUE_BYTES:
            settled = settled._replace(result=b'', result_omitted=True)
        view.put(self.operation.member, settled)
        return intents.Decision(intents.Verdict.WRITE, effects)


# An attempt whose outcome was recorded as unknown may still report it.
_SETTLED_BY_CLAIMANT = frozenset(
    (claims.State.DISPATCHING, claims.State.UNKNOWN)
)


class Lookup(intents.Intent):
    """Looks up the recorded outcome of an operation."""

    def __init__(self, operation: claims.Operation) -> None:
        super().__init__(operation.bucket)
        self.operation = operation

    def may_write(self) -> bool:
        """Return False: a lookup writes only a claim that has expired."""
        return False

    def decide(self, view: intents.View) -> intents.Decision:
        """Report the claim from a view read after the lookup was added."""
        record = claims.find(view.document, self.operation.member)
        if not self.is_fresh(view):
            if record is None or record.state is not claims.State.RUN:
                return intents.READ
        if record is None:
            error = errors.OperationNotFound(
                f'no claim of {self.operation.operation_key} is recorded; '
                f'repeat the request with the same key and issued_at'
            )
            return intents.Decision(
                intents.Verdict.DONE,
                (ledgereffects.Refuse(self.operation, error),),
            )
        return attempts.report(self, self.operation, view, record)

    def on_unavailable(self) -> tuple[ledgereffects.Effect, ...] | None:
        """Report that the record can't be read."""
        return (
            ledgereffects.Refuse(self.operation, ledgereffects.unreadable()),
        )
