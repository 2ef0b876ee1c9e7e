"""Model of the answer times of a pool of engines, learned from its answers."""

_DEFAULT_READ_PER_S = 35_000.0
"""Initial estimate of the prompt tokens that an engine reads per second: the middle of the range of
current accelerator nodes."""

_DEFAULT_FIRST_S = 0.025
"""Initial estimate of the time to the first token beyond reading the prompt: one batch step and the
network round trip."""

_READ_RATE_QUANTILE = 0.6
"""Quantile of the measured rates that is taken as the engines' true rate. Requests of peers that
are not reported yet delay answers but never speed them up, so that the median rate is too low."""

_FIRST_S_QUANTILE = 0.5
"""Quantile of the times measured for short prompts: the median, which is typical for callers."""

_DEFAULT_TURNAROUND_S = 0.01
"""Initial estimate of the turnaround: two messages between zones, and their handling."""

_TURNAROUND_SMOOTHING = 0.02
"""Weight of one request in the moving average of the turnaround."""

_RELATIVE_STEP = 0.03
_READ_RATE_RANGE = (2_000.0, 1_000_000.0)
_FIRST_S_RANGE = (0.005, 0.5)
_MIN_RATE_TOKENS = 1500
"""The time of shorter reads is dominated by the batch step and says little about the rate."""

_MAX_FIRST_S_TOKENS = 1000
"""Longer reads say little about the time beyond reading."""


class PoolModel:
    """Read rate of a pool's engines, and the time to a first token beyond reading.

    Both follow a quantile of the measurements in small steps, so that single answers that took very
    long or were served from the cache have no more weight than others. With a constant 25 ms beyond
    reading, where engines took 60 ms, the estimated rate was half of the true one, and half of the
    answers arrived within 0.61 of the expected time.

    Parameters
    ----------
    read_per_s : float
        Initial value, in tokens per second and engine.
    fetch_per_s : float
        Cached tokens that one engine can transfer to another per second; 0 if transfers are not
        supported.

    Attributes
    ----------
    turnaround_s : float
        Seconds of a request's way that an engine does not see: from the decision to the send, and
        from its first event to word of it at the scheduler.
    """

    def __init__(self, read_per_s: float = _DEFAULT_READ_PER_S, fetch_per_s: float = 0.0) -> None:
        self.read_per_s = read_per_s
        self.first_s = _DEFAULT_FIRST_S
        self.turnaround_s = _DEFAULT_TURNAROUND_S
        self.fetch_per_s = fetch_per_s

    def first_event_s(self, tokens: int) -> float:
        """Return the expected seconds to the first event if ``tokens`` are to be read before it."""
        return self.first_s + tokens / self.read_per_s

    def learn_turnaround(self, seconds: float) -> None:
        """Update the turnaround with that of one request."""
        self.turnaround_s += _TURNAROUND_SMOOTHING * (max(0.0, seconds) - self.turnaround_s)

    def learn(self, tokens: int, took_s: float) -> None:
        """Update the estimates with the measured time to a first event.

        ``tokens`` counts all tokens that were read between sending the request and its first event.
        """
        if tokens >= _MIN_RATE_TOKENS:
            measured = tokens / max(took_s - self.first_s, 0.001)
            self.read_per_s = _step_towards(
                self.read_per_s, measured, _READ_RATE_QUANTILE, _READ_RATE_RANGE
            )
        elif tokens <= _MAX_FIRST_S_TOKENS:
            measured = took_s - tokens / self.read_per_s
            self.first_s = _step_towards(self.first_s, measured, _FIRST_S_QUANTILE, _FIRST_S_RANGE)


def _step_towards(
    value: float, measured: float, quantile: float, bounds: tuple[float, float]
) -> float:
    step = _RELATIVE_STEP * quantile if measured > value else -_RELATIVE_STEP * (1 - quantile)
    low, high = bounds
    return min(high, max(low, value * (1 + step)))
