"""Budget of further attempts at one service; sans-I/O.

Owns the tokens of one host. All hosts share a bound in a sliding window: a
share of the first attempts and a fixed number. The share needs no agreement,
since each host earns it from its own requests; the number is divided by the
hosts that are known.
"""

from cardamomflow import tokens

# Kept back for requests that were sent but did not arrive, and for a host
# that has just started and does not know all others.
SAFETY = 0.8


class ExtraLoad:
    """Tokens of one service."""

    def __init__(self, share: float, burst: float) -> None:
        """Start with one token.

        A host that starts again within a window does not know what it sent
        before; it would spend its part of the fixed number twice.

        Parameters
        ----------
        share : float
            Further attempts allowed for each first one.
        burst : float
            Further attempts of this host in a window, beside the share.
        """
        self._share = share * SAFETY
        self._bucket = tokens.TokenBucket(_capacity(burst), tokens=1)

    def resize(self, share: float, burst: float) -> None:
        """Take another part of the bound; tokens beyond it are lost."""
        self._share = share * SAFETY
        self._bucket.resize(_capacity(burst))

    def first_sent(self) -> None:
        """Earn a share of a token for a first attempt."""
        self._bucket.earn(self._share)

    def withdraw(self) -> bool:
        """Take the token of one further attempt, if there is one."""
        return self._bucket.withdraw()


def _capacity(burst: float) -> float:
    return max(1.0, burst * SAFETY)
