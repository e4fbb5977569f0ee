"""Time to merge and send an answer, estimated by route; sans-I/O.

Owns a running mean for each route. A partial answer is started that much
before the target of its request: on half a processor core it takes
milliseconds to merge and to write the answer of a query of 90 parts.
"""

# Weight of a new sample in the running mean.
SAMPLE_WEIGHT = 0.25
# Longer samples include a pause of the process, which does not predict the
# next answer.
MAXIMUM_SAMPLE_S = 0.01


class AnswerTime:
    """Running means of the time to merge and send an answer, by route."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s_by_route: dict[str, float] = {}

    def estimate_s(self, route: str) -> float:
        """Return the expected time in seconds, 0 if it is unknown."""
        return self._mean_s_by_route.get(route, 0)

    def record(self, route: str, duration_s: float) -> None:
        """Add the time that one answer took."""
        duration_s = min(duration_s, MAXIMUM_SAMPLE_S)
        mean_s = self._mean_s_by_route.get(route, duration_s)
        self._mean_s_by_route[route] = mean_s + SAMPLE_WEIGHT * (
            duration_s - mean_s
        )

    def clear(self) -> None:
        """Drop the means of all routes, since the routes have changed."""
        self._mean_s_by_route.clear()
