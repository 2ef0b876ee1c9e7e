"""The router's HTTP front, a WSGI application served by cheroot.

Routes
------
``POST /v1/chat/completions``, ``POST /v1/completions``
    OpenAI-style calls to a model pool.
``POST /svc/<service>/<path>``
    Calls to a plain service.
``GET /status``, ``GET /metrics``, ``GET /healthz``, ``POST /admin/drain``
    For operators and the platform's load balancer.
``GET /admin/config``
    The active configuration, for peers.
"""

from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec
import pykka
from cheroot.errors import MaxSizeExceeded
from prometheus_client import generate_latest

from turmerictray.config.snapshot import ConfigSnapshot
from turmerictray.core import metrics
from turmerictray.core.actor import ask_with_timeout
from turmerictray.core.errors import CallerError, NoConfig, TurmerictrayError
from turmerictray.core.logs import log_event
from turmerictray.router.answers import error_answer
from turmerictray.router.messages import StatusQuery
from turmerictray.router.proxy import Proxy
from turmerictray.router.request import read_model_request, read_service_request

_NO_CONFIG_RETRY_AFTER_S = 1.0
_STATUS_TIMEOUT_S = 5.0
_MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")


class Front:
    """The WSGI application.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        The router's dispatcher, queried for ``GET /status``.
    proxy : Proxy
    snapshot : ConfigSnapshot
        Holder of the active configuration.
    on_drain : callable
        Starts a graceful shutdown; called for ``POST /admin/drain``.
    """

    def __init__(
        self,
        dispatcher: pykka.ActorRef,
        proxy: Proxy,
        snapshot: ConfigSnapshot,
        on_drain: Callable[[], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.proxy = proxy
        self.snapshot = snapshot
        self.on_drain = on_drain
        self.draining = False

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO", "/")
        if method == "GET":
            return self._handle_get(path, start_response)
        if method == "POST" and path == "/admin/drain":
            self.draining = True
            self.on_drain()
            return _send(start_response, 202, b'{"draining": true}')
        if method == "POST" and (path in _MODEL_PATHS or path.startswith("/svc/")):
            return self._handle_call(environ, path, start_response)
        return _send(start_response, 404, b'{"error": {"type": "not_found"}}')

    def _handle_get(self, path: str, start_response: Callable) -> Iterable[bytes]:
        if path == "/healthz":
            status = 503 if self.draining else 200
            return _send(
                start_response,
                status,
                b'{"draining": %s}' % (b"true" if self.draining else b"false"),
            )
        if path == "/status":
            state = ask_with_timeout(self.dispatcher, StatusQuery(), _STATUS_TIMEOUT_S)
            if state is None:
                return _send(start_response, 503, b'{"error": {"type": "busy"}}')
            router_status = msgspec.structs.replace(state, orders=self.proxy.guard.state())
            return _send(start_response, 200, msgspec.json.encode(router_status))
        if path == "/admin/config":
            cfg = self.snapshot.current
            if cfg is None:
                return _send(start_response, 404, b'{"error": {"type": "no_config"}}')
            return _send(start_response, 200, msgspec.json.encode(cfg))
        if path == "/metrics":
            return _send(start_response, 200, generate_latest(metrics.REGISTRY), "text/plain")
        return _send(start_response, 404, b'{"error": {"type": "not_found"}}')

    def _handle_call(self, environ: dict, path: str, start_response: Callable) -> Iterable[bytes]:
        cfg = self.snapshot.current
        headers = _headers(environ)
        try:
            if cfg is None:
                raise NoConfig("no_config", _NO_CONFIG_RETRY_AFTER_S)
            body = _read_body(environ, cfg.limits.max_body_bytes)
            if path.startswith("/svc/"):
                req = read_service_request(cfg, path, headers, body)
            else:
                req = read_model_request(cfg, path, headers, body)
            answer = self.proxy.serve(req, cfg)
        except TurmerictrayError as exc:
            err = error_answer(exc)
            log_event(
                "refused",
                status=err.status,
                reason=str(exc)[:200],
                req=headers.get("x-request-id", headers.get("idempotency-key", "-")),
            )
            start_response(
                _status_line(err.status), [("Content-Type", "application/json"), *err.headers]
            )
            return [err.body]
        start_response(_status_line(answer.status), answer.headers)
        return answer.body


def _headers(environ: dict) -> dict[str, str]:
    headers = {
        key[5:].replace("_", "-").lower(): val
        for key, val in environ.items()
        if key.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _read_body(environ: dict, max_bytes: int) -> bytes:
    """Read the whole request body.

    Raises
    ------
    CallerError
        The body is malformed or larger than ``max_bytes``.
    """
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return _read_chunked_body(environ["wsgi.input"], max_bytes)
    length = int(environ.get("CONTENT_LENGTH") or "0")
    if length > max_bytes:
        raise CallerError(f"body of {length} bytes is over {max_bytes}", 413)
    return environ["wsgi.input"].read(length) if length else b""


def _read_chunked_body(rfile, max_bytes: int) -> bytes:
    try:
        data = rfile.read()
        # The trailer section must be read too. Otherwise its bytes would be parsed as the next
        # request on this connection.
        for _ in rfile.read_trailer_lines():
            pass
    except MaxSizeExceeded as exc:
        raise CallerError(f"body is over {max_bytes} bytes", 413) from exc
    except ValueError as exc:
        raise CallerError(f"body is malformed: {exc}") from exc
    return data


def _status_line(code: int) -> str:
    try:
        return f"{code} {HTTPStatus(code).phrase}"
    except ValueError:
        return f"{code} Unknown"


def _send(
    start_response: Callable, code: int, body: bytes, content_type: str = "application/json"
) -> list[bytes]:
    start_response(
        _status_line(code), [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    )
    return [body]
