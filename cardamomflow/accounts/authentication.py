"""Decides whose request it is, from its API key; sans-I/O.

Owns the age of the configuration in real time. A host whose configuration is
old can't tell an unknown key from one that was added since.
"""

from cardamomflow import errors
from cardamomflow.accounts import table

# A configuration that was confirmed longer ago may lack keys that have been
# added since: changes are in force on all connected hosts within 5 s, and a
# watch of the platform without changes takes up to 2 s.
MAX_AGE_S = 4.0
# Seconds after which a refused caller may try again, probably at another host.
RETRY_AFTER_S = 0.25
# Smallest difference between the two clocks that means a suspension; reading
# both in sequence takes microseconds.
_MIN_SUSPENSION_S = 0.05


class ConfirmationAge:
    """Real time since the platform confirmed the configuration.

    Monotonic clocks stop while a machine is suspended. The clock since boot
    does not, so the difference of both shows a suspension.
    """

    def __init__(self) -> None:
        """Start without a confirmation."""
        self._confirmed_at = float('-inf')
        self._suspended_s: float | None = None
        # Monotonic time of the first record after the last suspension.
        self._resumed_at = float('-inf')

    def record(self, confirmed_at: float, now: float, boot_time: float) -> None:
        """Record a confirmation.

        Those from before a suspension, which may be read after it, are ignored.

        Parameters
        ----------
        confirmed_at, now : float
            Monotonic times in seconds.
        boot_time : float
            Time since boot in seconds, with suspensions, at `now`.
        """
        suspended_s = boot_time - now
        previous_s, self._suspended_s = self._suspended_s, suspended_s
        is_resumed = (
            previous_s is not None
            and suspended_s - previous_s >= _MIN_SUSPENSION_S
        )
        if is_resumed:
            self._resumed_at = now
        elif confirmed_at >= self._resumed_at:
            self._confirmed_at = max(
                self._confirmed_at, confirmed_at + suspended_s
            )

    def age_s(self, boot_time: float) -> float:
        """Return the seconds since the last confirmation, infinite without."""
        return boot_time - self._confirmed_at


def authenticate(
    accounts: table.AccountTable,
    key: str | None,
    age_s: float,
    *,
    is_public: bool,
    is_confirmed: bool = True,
) -> table.Account | None:
    """Return the account of a request; None if it needs none.

    Parameters
    ----------
    accounts : table.AccountTable
    key : str or None
        API key of the request.
    age_s : float
        Seconds since the configuration was confirmed.
    is_public : bool
        Whether the route needs no key.
    is_confirmed : bool
        Whether it is confirmed that there are no accounts, if none are known.

    Raises
    ------
    errors.UnknownKey
        The key is missing, or no account holds it.
    errors.NotReady
        The key may have been added since the configuration was confirmed.
    """
    if not accounts:
        if key is not None and not is_public and not is_confirmed:
            raise _not_ready(
                'accounts that hold the key may have been introduced'
            )
        return None
    account = None if key is None else accounts.find(key)
    if account is not None or is_public:
        return account
    if key is None:
        raise errors.UnknownKey('the request needs an API key')
    raise _unknown_key(age_s)


def _unknown_key(age_s: float) -> errors.FlowError:
    """Return the error of a key that no known account holds."""
    if age_s > MAX_AGE_S:
        return _not_ready(
            'the accounts known here are too old to refuse an unknown key'
        )
    return errors.UnknownKey('no account holds the API key')


def _not_ready(message: str) -> errors.NotReady:
    return errors.NotReady(message, retry_after_s=RETRY_AFTER_S)
