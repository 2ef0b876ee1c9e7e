"""A small WSGI application base for the stand-ins: routes, JSON bodies and answers."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qsl

import msgspec

Handler = Callable[["Call"], "Reply"]


class Call(msgspec.Struct):
    """One HTTP call as a handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """The body decoded as JSON (None when empty)."""
        return msgspec.json.decode(self.body) if self.body else None


class Reply(msgspec.Struct):
    """A handler's answer; ``body`` may be an iterator of chunks for streaming."""

    status: int = 200
    body: object = b""
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    kind: str = "application/json"


class AbortAnswer(Exception):
    """Raised inside an answer's body to break the connection mid-answer (a reset)."""


def broken_reply() -> Reply:
    """An answer whose connection breaks after the headers and part of the body."""

    def body():
        yield b'{"partial": '
        raise AbortAnswer("reset")

    return Reply(200, body(), [("Content-Length", "4096")])


def json_reply(doc: object, status: int = 200, headers=None) -> Reply:
    """A JSON answer."""
    return Reply(status, msgspec.json.encode(doc), list(headers or []))


class WebApp:
    """Dispatches calls to handlers by ``(method, path)`` or by path prefix."""

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.prefixes: list[tuple[str, str, Handler]] = []

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Serve ``path`` (a prefix when it ends in ``/``) with ``handler``."""
        if path.endswith("/"):
            self.prefixes.append((method, path, handler))
        else:
            self.exact[(method, path)] = handler

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        call = _read_call(environ)
        handler = self.exact.get((call.method, call.path))
        if handler is None:
            handler = next(
                (h for m, p, h in self.prefixes if m == call.method and call.path.startswith(p)),
                None,
            )
        if handler is None:
            reply = json_reply({"error": {"type": "not_found"}}, 404)
        else:
            try:
                reply = handler(call)
            except (msgspec.DecodeError, msgspec.ValidationError, ValueError, KeyError) as exc:
                reply = json_reply({"error": {"type": "bad_request", "message": str(exc)}}, 400)
        headers = [("Content-Type", reply.kind), *reply.headers]
        if isinstance(reply.body, bytes):
            headers.append(("Content-Length", str(len(reply.body))))
            start_response(_status(reply.status), headers)
            return [reply.body]
        start_response(_status(reply.status), headers)
        return reply.body


def _status(code: int) -> str:
    return f"{code} {HTTPStatus(code).phrase}"


def _read_call(environ: dict) -> Call:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
    headers = {
        key[5:].replace("_", "-").lower(): val
        for key, val in environ.items()
        if key.startswith("HTTP_")
    }
    return Call(environ["REQUEST_METHOD"], environ.get("PATH_INFO", "/"), query, headers, body)
