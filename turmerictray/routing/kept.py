"""Which parts of prompts an engine is believed to keep in its memory."""

from collections import OrderedDict

from turmerictray.routing.prompt import Part, PartId, Prompt


class KeptParts:
    """A least-recently-used model of one engine's memory, from what this router sent there.

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
        for part in prompt.shared:
            self._add(part)
        while self._total > self.memory_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._total -= tokens

    def kept_tokens(self, prompt: Prompt) -> int:
        """Tokens at the start of ``prompt`` that need not be read again."""
        kept = 0
        for part in prompt.shared:
            if part.part_id not in self._parts:
                break
            kept += part.tokens
        return kept

    def clear(self) -> None:
        """The engine has restarted and keeps nothing."""
        self._parts.clear()
        self._total = 0

    def _add(self, part: Part) -> None:
        if part.part_id not in self._parts:
            self._total += part.tokens
            self._parts[part.part_id] = part.tokens
        self._parts.move_to_end(part.part_id)
