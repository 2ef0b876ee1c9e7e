"""Estimates of how long a pool of engines takes, learned from the answers."""

_DEFAULT_READ_PER_S = 35_000.0
"""Prompt tokens an engine reads in a second before anything is known; the middle of the range of
current accelerator nodes."""

_DEFAULT_FIRST_S = 0.025
"""Time to a first token beyond reading the prompt, before anything is known: one batch step and the
way there and back."""

_RATE_QUANTILE = 0.6
"""Which of the rates seen is taken for the engines' own. Work of peers that is not known yet makes
answers late and never early, so the middle of what is seen is too slow."""

_FIRST_QUANTILE = 0.5
"""Which of the times seen for short prompts is taken: what most callers wait."""

_STEP = 0.03
_RATE_RANGE = (2_000.0, 1_000_000.0)
_FIRST_RANGE = (0.005, 0.5)
_LONG_TOKENS = 1500
"""Shorter reads are ruled by the batch step and say little about the rate."""

_SHORT_TOKENS = 1000
"""Longer reads say little about the time beyond reading."""


class PoolModel:
    """The reading rate of a pool's engines, and the time of a first token beyond reading.

    Both follow a quantile of what is seen by small steps up or down, so that single answers that
    took very long or were found in memory move them no more than others. With a fixed 25 ms beyond
    reading, where engines took 60, the rate was taken for half of what it was, and half of the
    answers came within 0.61 of the time expected.

    Parameters
    ----------
    read_per_s : float
        Starting value, in tokens a second and engine.
    fetch_per_s : float
        Kept tokens that one engine hands to another in a second; 0 where they can't.
    """

    def __init__(self, read_per_s: float = _DEFAULT_READ_PER_S, fetch_per_s: float = 0.0) -> None:
        self.read_per_s = read_per_s
        self.first_s = _DEFAULT_FIRST_S
        self.fetch_per_s = fetch_per_s

    def first_event_s(self, tokens: int) -> float:
        """Seconds to the first event of a request that waits for ``tokens`` to be read."""
        return self.first_s + tokens / self.read_per_s

    def learn(self, tokens: int, took_s: float) -> None:
        """Take the time from a send to the first event, with ``tokens`` to be read in all."""
        if tokens >= _LONG_TOKENS:
            seen = tokens / max(took_s - self.first_s, 0.001)
            self.read_per_s = _follow(self.read_per_s, seen, _RATE_QUANTILE, _RATE_RANGE)
        elif tokens <= _SHORT_TOKENS:
            seen = took_s - tokens / self.read_per_s
            self.first_s = _follow(self.first_s, seen, _FIRST_QUANTILE, _FIRST_RANGE)


def _follow(value: float, seen: float, quantile: float, bounds: tuple[float, float]) -> float:
    step = _STEP * quantile if seen > value else -_STEP * (1 - quantile)
    low, high = bounds
    return min(high, max(low, value * (1 + step)))
