"""Client for the API with which an engine lists its cached prompt parts."""

from typing import Annotated

import msgspec
import urllib3

from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import EngineError
from turmerictray.platform.documents import target_id
from turmerictray.platform.headers import MAX_TOKENS, to_part_id
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PromptPart
from turmerictray.transport.bounded_input import bounded_pool_manager
from turmerictray.transport.reset import CALL_SOCKET_OPTIONS

_LIST_TIMEOUT_S = 1.0
"""Time limit of a request; a healthy engine answers within a few milliseconds."""


_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class _Listing(msgspec.Struct, frozen=True):
    # Start time of the engine's process in Unix milliseconds, as in its entry.
    born: int | msgspec.UnsetType = msgspec.UNSET
    # Each item is [empty string, part id, number of cached tokens, model].
    held: list[tuple[str, str, _Tokens, str]] = []


def list_cached_parts(engine: TargetInfo) -> list[PromptPart]:
    """Return the prompt parts that an engine has cached.

    Raises
    ------
    EngineError
        The engine is unreachable or not the expected incarnation, or its answer is invalid.
    """
    headers = {"X-Expect-Instance": engine.instance_name, "Connection": "close"}
    url = f"http://{engine.address}/api/kv-list"
    try:
        with bounded_pool_manager(socket_options=CALL_SOCKET_OPTIONS) as http:
            resp = http.request("GET", url, headers=headers, timeout=_LIST_TIMEOUT_S, retries=False)
        if resp.status != 200:
            raise EngineError(f"{engine.address} answered with status {resp.status}")
        listing = decode_json(resp.data, _Listing)
    except (urllib3.exceptions.HTTPError, DecodingError) as exc:
        raise EngineError(f"{engine.address}: {exc}") from exc
    if (
        listing.born is not msgspec.UNSET
        and target_id(engine.instance_name, listing.born) != engine.id
    ):
        raise EngineError(f"{engine.address} has restarted since its entry was read")
    return [PromptPart(to_part_id(part), tokens) for _, part, tokens, _ in listing.held]
