"""Estimates of how long a pool of engines takes, learned from the answers."""

_DEFAULT_READ_PER_S = 35_000.0
"""Prompt tokens an engine reads in a second before anything is known; the middle of the range of
current accelerator nodes."""

_FIRST_S = 0.025
"""Time to a first token beyond reading the prompt: one batch step and the way there and back."""

_QUANTILE = 0.75
"""Which of the rates seen is taken for the engines' own. Work of peers that is not known yet makes
answers late and never early, so the middle of what is seen is too slow."""

_STEP = 0.03
_RATE_RANGE = (2_000.0, 1_000_000.0)
_LEAST_TOKENS = 1500
"""Shorter reads are ruled by the batch step and say little about the rate."""


class PoolModel:
    """The reading rate of a pool's engines.

    The rate follows a quantile of what is seen by small steps up or down, so that single answers
    that took very long or were found in memory move it no more than others.

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

    def learn(self, tokens: int, took_s: float) -> None:
        """Take the time that ``tokens`` took on an engine with nothing else to read."""
        if tokens < _LEAST_TOKENS:
            return
        seen = tokens / max(took_s - _FIRST_S, 0.001)
        step = _STEP * _QUANTILE if seen > self.read_per_s else -_STEP * (1 - _QUANTILE)
        low, high = _RATE_RANGE
        self.read_per_s = min(high, max(low, self.read_per_s * (1 + step)))
