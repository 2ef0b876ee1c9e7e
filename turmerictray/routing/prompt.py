"""Description of a request's prompt: its parts, which other requests may share, and its size."""

from dataclasses import dataclass
from typing import NewType

PartId = NewType("PartId", str)
"""Identifier of a prompt part; equal parts have equal ids."""

UNSHARED_PART = PartId("")
"""Stands for all parts that no other request shares in reports of what engines have read."""

_GENERATED_TOKEN_COST = 2
"""Cost of a generated token in read tokens: it takes an engine as long as reading about two."""


@dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that engines can cache, ``tokens`` long."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a request's prompt.

    Attributes
    ----------
    parts : tuple of PromptPart
        In order; the last one is specific to the request, those before it may be shared.
    input_tokens : int
        Number of tokens of the whole prompt.
    output_tokens : int
        Maximum number of tokens to generate.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share."""
        return self.parts[:-1]

    @property
    def unshared_tokens(self) -> int:
        """Number of tokens of the part that is specific to the request."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def affinity_key(self) -> PartId | None:
        """Id of the part that determines the preferred engine, or None without shared parts.

        It is the last shared part: an engine that caches it also caches all parts before it.
        """
        return self.shared[-1].part_id if self.shared else None

    @property
    def cost(self) -> float:
        """Cost of the request, in read tokens."""
        return self.input_tokens + _GENERATED_TOKEN_COST * self.output_tokens
