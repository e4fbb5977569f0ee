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
        """Wait until `ready_at` for other outcomes of the bucket."""
        super().__init__(attempt.key, ready_at)
        self.attempt = attempt
        self.operation = attempt.operation
        self.token = attempt.token
        self.state = state
        self.result = result

    @property
    def accepts_again(self) -> bool:
        """Whether the operation is to be taken again."""
        return (
            isinstance(self.attempt, attempts.ClaimDeferred)
            and self.state is claims.State.NOT_RUN
        )

    def decide(self, view: intents.View) -> intents.Decision:
        """Write unless it is written or another attempt has the claim."""
        follow = (ledgereffects.Settled(self),)
        record = claims.find(view.document, self.operation.member)
        if record is None or record.token != self.token:
            return intents.Decision(intents.Verdict.DONE, follow)
        settled = record.with_outcome(self.state, self.result, view.unix_time)
        if record.state not in _SETTLED_BY_CLAIMANT or settled == record:
            return intents.Decision(intents.Verdict.DONE, follow)
        if view.size + len(settled.result) * 4 // 3 > claims.MAX_VALUE_BYTES:
            settled = settled._replace(result=b'', result_omitted=True)
        view.put(self.operation.member, settled)
        return intents.Decision(intents.Verdict.WRITE, follow)


# An attempt that was given up may still report its outcome.
_SETTLED_BY_CLAIMANT = frozenset(
    (claims.State.DISPATCHING, claims.State.UNKNOWN)
)


class Lookup(intents.Intent):
    """Asks for the recorded outcome."""

    def __init__(self, operation: claims.Operation) -> None:
        """Ask for the claim of the operation."""
        super().__init__(operation.bucket)
        self.operation = operation

    def may_write(self) -> bool:
        """Only a claim that expired is written."""
        return False

    def decide(self, view: intents.View) -> intents.Decision:
        """Report the claim as a read after the question shows it."""
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
