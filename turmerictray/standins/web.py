"""A small WSGI framework for the stand-ins: routes, JSON requests and JSON answers."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qsl

import msgspec

Handler = Callable[["Call"], "Reply"]


class Call(msgspec.Struct):
    """An HTTP request as passed to a handler."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body decoded as JSON (None when empty)."""
        return msgspec.json.decode(self.body) if self.body else None


class Reply(msgspec.Struct):
    """The answer of a handler; ``kind`` is its content type.

    ``body`` is bytes, or an iterator of chunks for a streamed answer.
    """

    status: int = 200
    body: object = b""
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    kind: str = "application/json"


class AbortAnswer(Exception):
    """Raised while a body is streamed, to reset the connection in the middle of the answer."""


def broken_reply() -> Reply:
    """Build an answer whose connection is reset after the headers and a fraction of the body."""

    def body():
        yield b'{"partial": '
        raise AbortAnswer("reset")

    return Reply(200, body(), [("Content-Length", "4096")])


def json_reply(doc: object, status: int = 200, headers=None) -> Reply:
    """Build a JSON answer."""
    return Reply(status, msgspec.json.encode(doc), list(headers or []))


class WebApp:
    """WSGI application that dispatches by method and path, then by path prefix."""

    def __init__(self) -> None:
        self.exact: dict[tuple[str, str], Handler] = {}
        self.prefixes: list[tuple[str, str, Handler]] = []

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Register ``handler`` for ``path``, or for a path prefix when it ends in ``/``."""
        if path.endswith("/"):
            self.prefixes.append((method, path, handler))
        else:
            self.exact[(method, path)] = handler

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        call = _read_call(environ)
        handler = self.exact.get((call.method, call.path))
        if handler is None:
            handler = next(
                (
                    handler
                    for method, prefix, handler in self.prefixes
                    if method == call.method and call.path.startswith(prefix)
                ),
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
            start_response(_status_line(reply.status), headers)
            return [reply.body]
        start_response(_status_line(reply.status), headers)
        return reply.body


def _status_line(code: int) -> str:
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
