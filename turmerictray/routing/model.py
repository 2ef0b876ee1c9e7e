"""Estimates of how long a pool of engines takes, learned from the answers."""

_DEFAULT_READ_PER_S = 40_000.0
"""Prompt tokens an engine reads in a second before anything was measured; the middle of the range
of current accelerator nodes. The first dozen answers correct it."""

_FIRST_S = 0.025
"""Time to a first token beyond reading the prompt: one batch step and the way there and back."""

_LEARNING = 0.05
"""Weight of one answer in the pool's rate; engines differ, and their own slowness takes the rest."""

_RATE_RANGE = (2_000.0, 1_000_000.0)
_LEAST_TOKENS = 1500
"""Shorter reads are ruled by the batch step and say little about the rate."""


class PoolModel:
    """The reading rate of a pool's engines.

    Parameters
    ----------
    read_per_s : float
        Starting value, in tokens a second and engine.
    """

    def __init__(self, read_per_s: float = _DEFAULT_READ_PER_S) -> None:
        self.read_per_s = read_per_s

    def first_event_s(self, tokens: int) -> float:
        """Seconds to the first event of a request that waits for ``tokens`` to be read."""
        return _FIRST_S + tokens / self.read_per_s

    def learn(self, tokens: int, took_s: float, slowness: float) -> None:
        """Take the time that ``tokens`` took on an engine of known ``slowness``."""
        if tokens < _LEAST_TOKENS:
            return
        seen = tokens * slowness / max(took_s - _FIRST_S, 0.001)
        low, high = _RATE_RANGE
        seen = min(high, max(low, seen))
        self.read_per_s += _LEARNING * (seen - self.read_per_s)
