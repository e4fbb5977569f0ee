"""Result of a benchmark, as written to `build/bench.json`."""

from typing import NamedTuple


class Result(NamedTuple):
    """One figure with its regression bound.

    Attributes
    ----------
    name : str
    value : float
    unit : str
    bound : float or None
        Comes from a stated target; None for a figure without a target.
    direction : str
        `at_most` or `at_least`.
    baseline : str
        What the figure is compared with.
    """

    name: str
    value: float
    unit: str
    bound: float | None
    direction: str
    baseline: str

    @property
    def holds(self) -> bool:
        """Whether the figure is within its bound."""
        if self.bound is None:
            return True
        if self.direction == 'at_most':
            return self.value <= self.bound
        return self.value >= self.bound
