"""What a request says of its prompt: its parts, which other requests may share, and its size."""

from dataclasses import dataclass
from typing import NewType

PartId = NewType("PartId", str)
"""Names a part of a prompt; equal parts have equal ids."""

_GENERATED_WEIGHT = 2
"""A generated token takes an engine as long as about two tokens read."""


@dataclass(frozen=True)
class Part:
    """A part of a prompt, ``tokens`` long."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """The prompt of a request.

    Attributes
    ----------
    parts : tuple of Part
        In order; the last one belongs to the request itself, those before it may be shared.
    input_tokens : int
        Tokens of the whole prompt.
    output_tokens : int
        Most tokens that will be generated.
    """

    parts: tuple[Part, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def home_key(self) -> PartId | None:
        """The part that decides where the request is best placed, or None without shared parts.

        The longest run of shared parts ends with the last one; an engine that keeps it keeps all
        before it as well.
        """
        return self.shared[-1].part_id if self.shared else None

    @property
    def cost(self) -> float:
        """What the request takes from the pool, in tokens read."""
        return self.input_tokens + _GENERATED_WEIGHT * self.output_tokens
