"""HTTP client that reads an engine's loaded models and sends it orders."""

import msgspec
import urllib3

from turmerictray.core import metrics
from turmerictray.core.decoding import DecodingError, convert, decode_json
from turmerictray.core.errors import EngineError, StaleFence
from turmerictray.transport.bounded_input import bounded_pool_manager

_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)
_HEADERS_SIZE_BYTES = 150


class EngineModels(msgspec.Struct, frozen=True):
    """Models an engine has loaded, and the highest fencing number it has seen."""

    models: list[str]
    fence: int = 0


class ModelOrder(msgspec.Struct, frozen=True):
    """Order to load exactly ``models``; ``fence`` is the configuration's version."""

    fence: int
    models: list[str]
    action: str = "set_models"


class EngineClient:
    """Client of the engines' order interface."""

    def __init__(self) -> None:
        self._http = bounded_pool_manager(num_pools=256, retries=False)

    def read(self, url: str) -> EngineModels:
        """Return the models that the engine at ``url`` has loaded.

        Raises
        ------
        EngineError
            If the engine could not be reached or its response is invalid.
        """
        doc = self._call("GET", url + "/admin/models")
        try:
            return convert(doc, EngineModels)
        except DecodingError as exc:
            raise EngineError(f"{url}: {exc}") from exc

    def order(self, url: str, order: ModelOrder, node: str) -> None:
        """Send an order to the engine at ``url``.

        Raises
        ------
        StaleFence
            If the engine has seen a higher fencing number and refused the order.
        EngineError
            If the order failed. It may have been executed, and may be sent again.
        """
        body = msgspec.json.encode(order)
        self._call("POST", url + "/admin/order", body, {"X-Router": node})

    def close(self) -> None:
        """Close all connections."""
        self._http.clear()

    def _call(self, method: str, url: str, body: bytes | None = None, headers=None) -> object:
        try:
            resp = self._http.request(method, url, body=body, headers=headers, timeout=_TIMEOUT)
            doc = decode_json(resp.data)
        except (urllib3.exceptions.HTTPError, DecodingError) as exc:
            raise EngineError(f"{url}: {type(exc).__name__}") from exc
        metrics.count_control_bytes(
            "placement",
            len(body or b"") + _HEADERS_SIZE_BYTES,
            len(resp.data) + _HEADERS_SIZE_BYTES,
        )
        if resp.status == 409:
            raise StaleFence(f"{url}: order refused as stale")
        if resp.status != 200:
            raise EngineError(f"{url}: status {resp.status}")
        return doc
