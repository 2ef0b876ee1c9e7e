"""Which parts of prompts an engine is believed to keep in its memory."""

from collections import OrderedDict
from collections.abc import Iterable

from turmerictray.routing.prompt import Part, PartId, Prompt


class KeptParts:
    """A least-recently-used model of one engine's memory, from what routers sent there.

    Parameters
    ----------
    memory_tokens : int
        Tokens that the engine keeps at most.
    """

    def __init__(self, memory_tokens: int) -> None:
        self.memory_tokens = memory_tokens
        self._parts: OrderedDict[PartId, int] = OrderedDict()
        self._total = 0

    def note_read(self, prompt: Prompt) -> None:
        """The engine has read ``prompt``, or is about to."""
        self.note_parts(prompt.parts)

    def note_parts(self, parts: Iterable[Part]) -> None:
        """The engine has read ``parts``, for this router or for a peer."""
        for part in parts:
            self._add(part)
        while self._total > self.memory_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._total -= tokens

    def note_older(self, parts: Iterable[Part]) -> None:
        """The engine keeps ``parts``, the oldest first, since before what is known already.

        What has no room beside the known parts is left out, the oldest first.
        """
        for part in reversed(list(parts)):
            if part.part_id in self._parts:
                continue
            if self._total + part.tokens > self.memory_tokens:
                return
            self._add(part)
            self._parts.move_to_end(part.part_id, last=False)

    def parts(self) -> list[Part]:
        """What the engine is believed to keep, least recently used first."""
        return [Part(part_id, tokens) for part_id, tokens in self._parts.items()]

    def kept_tokens(self, prompt: Prompt) -> int:
        """Tokens at the start of ``prompt`` that need not be read again."""
        kept = 0
        for part in prompt.shared:
            if part.part_id not in self._parts:
                break
            kept += part.tokens
        return kept

    def _add(self, part: Part) -> None:
        if part.part_id not in self._parts:
            self._total += part.tokens
            self._parts[part.part_id] = part.tokens
        self._parts.move_to_end(part.part_id)
