"""Estimate of which prompt parts an engine has in its prefix cache."""

from collections import OrderedDict
from collections.abc import Iterable

from turmerictray.routing.prompt import UNSHARED_PART, PartId, Prompt, PromptPart


class PrefixCacheModel:
    """Least-recently-used model of one engine's prefix cache.

    It is updated from the prompts that routers send to the engine.

    Parameters
    ----------
    memory_tokens : int
        Capacity of the cache, in tokens.
    """

    def __init__(self, memory_tokens: int) -> None:
        self.memory_tokens = memory_tokens
        self._parts: OrderedDict[PartId, int] = OrderedDict()
        self._total_tokens = 0
        self._unshared_count = 0

    def note_read(self, prompt: Prompt) -> None:
        """Record that the engine has read ``prompt`` or is about to."""
        self.note_parts(prompt.parts)

    def note_parts(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine has read ``parts``, for this router or for a peer.

        Parts that no other request shares may be given as one :data:`UNSHARED_PART`. They are never
        asked for again, but evict others.
        """
        for part in parts:
            self._add(self._named(part))
        while self._total_tokens > self.memory_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._total_tokens -= tokens

    def _named(self, part: PromptPart) -> PromptPart:
        if part.part_id != UNSHARED_PART:
            return part
        self._unshared_count += 1
        return PromptPart(PartId(f"unshared-{self._unshared_count}"), part.tokens)

    def note_older(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine cached ``parts``, oldest first, before all parts known so far.

        Parts that do not fit beside the known ones are left out, oldest first.
        """
        for part in reversed(list(parts)):
            if part.part_id in self._parts:
                continue
            if self._total_tokens + part.tokens > self.memory_tokens:
                return
            self._add(part)
            self._parts.move_to_end(part.part_id, last=False)

    def parts(self) -> list[PromptPart]:
        """Return the parts that the engine is estimated to cache, least recently used first."""
        return [PromptPart(part_id, tokens) for part_id, tokens in self._parts.items()]

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the number of tokens at the start of ``prompt`` that are served from the cache."""
        cached = 0
        for part in prompt.shared:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return cached

    def _add(self, part: PromptPart) -> None:
        if part.part_id not in self._parts:
            self._total_tokens += part.tokens
            self._parts[part.part_id] = part.tokens
        self._parts.move_to_end(part.part_id)
