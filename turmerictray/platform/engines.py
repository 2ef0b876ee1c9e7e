"""Asks an engine what it keeps in its memory."""

import msgspec
import urllib3

from turmerictray.core.errors import EngineError
from turmerictray.platform.documents import target_id
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, PromptPart

_LIST_S = 1.0
"""Listing takes an engine some milliseconds; one that is not done by then has other troubles."""


class _Listing(msgspec.Struct, frozen=True):
    # Start of the engine's process in Unix milliseconds, as in its entry.
    born: int | msgspec.UnsetType = msgspec.UNSET
    # Each entry is [empty text, part's id, tokens kept, model].
    held: list[tuple[str, str, int, str]] = []


def list_kept(engine: TargetInfo) -> list[PromptPart]:
    """The parts of prompts that an engine keeps.

    Raises
    ------
    EngineError
        It can't be reached, is another one than expected, or its answer can't be read.
    """
    headers = {"X-Expect-Instance": engine.instance_name, "Connection": "close"}
    url = f"http://{engine.address}/api/kv-list"
    try:
        resp = urllib3.request("GET", url, headers=headers, timeout=_LIST_S, retries=False)
        if resp.status != 200:
            raise EngineError(f"{engine.address} answered {resp.status}")
        listing = msgspec.json.decode(resp.data, type=_Listing)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise EngineError(f"{engine.address}: {exc}") from exc
    if (
        listing.born is not msgspec.UNSET
        and target_id(engine.instance_name, listing.born) != engine.id
    ):
        raise EngineError(f"{engine.address} has started again since it was listed")
    return [PromptPart(PartId(part), tokens) for _, part, tokens, _ in listing.held]
