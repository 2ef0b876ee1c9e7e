"""Fast path for requests that can be answered from their head alone.

It uses no worker thread and not cheroot's parser. A router takes it while it refuses many requests:
the cheaper a refusal is, the more callers learn in time that they should use another router.
"""

import io
import re
import socket
from collections.abc import Callable
from http import HTTPStatus

from turmerictray.core.logs import log_event
from turmerictray.transport.exchange import Header, RequestHead
from turmerictray.transport.framing import FramingError, StrictHeaderReader

_MAX_REQUEST_BYTES = 16 << 10
"""Larger requests, head and body together, are read by a worker thread."""

_HEAD_END = b"\r\n\r\n"
_VERSION = b"HTTP/1.1"
_UNSUPPORTED_HEADERS = (b"Transfer-Encoding", b"Expect", b"Upgrade")
_CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: *([0-9]{1,9})\r\n", re.IGNORECASE)
_TRANSFER_ENCODING = re.compile(rb"\r\nTransfer-Encoding:", re.IGNORECASE)
_read_headers = StrictHeaderReader()

FastPathHandler = Callable[[RequestHead], bytes | None]
"""Returns the encoded answer to a request, after which its connection is closed.

None means that a worker thread must serve the request.
"""


def parse_complete_request(data: bytes) -> RequestHead | None:
    """Parse ``data`` as exactly one complete request and return its head.

    Returns
    -------
    RequestHead or None
        None for anything else: an incomplete request, more than one request, a chunked body, or
        bytes that a strict parser refuses.
    """
    end = data.find(_HEAD_END)
    line_end = data.find(b"\r\n")
    words = data[:line_end].split(b" ")
    if end < 0 or len(words) != 3 or words[2] != _VERSION or not words[1].startswith(b"/"):
        return None
    try:
        fields = _read_headers(io.BytesIO(data[line_end + 2 : end + len(_HEAD_END)]))
    except FramingError:
        return None
    if b"Host" not in fields or any(name in fields for name in _UNSUPPORTED_HEADERS):
        return None
    length = int(fields.get(b"Content-Length", 0))
    if len(data) != end + len(_HEAD_END) + length:
        return None
    headers = {name.decode("latin-1"): val.decode("latin-1") for name, val in fields.items()}
    return RequestHead(words[0].decode("latin-1"), words[1].decode("latin-1"), headers)


def encode_closing_answer(status: int, headers: list[Header], body: bytes) -> bytes:
    """Encode an answer after which the connection is closed."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {val}" for name, val in headers]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def peek_received(sock: socket.socket) -> bytes | None:
    """Return the received, unread bytes of a connection without consuming them; None if none."""
    try:
        return sock.recv(_MAX_REQUEST_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        # Nothing has arrived, or the connection is broken, which the next read reports.
        return None


def is_complete_request(data: bytes | None) -> bool:
    """Return whether a request has arrived in full; always false for a chunked body."""
    end = -1 if data is None else data.find(_HEAD_END)
    if end < 0 or _TRANSFER_ENCODING.search(data, 0, end):
        return False
    length = _CONTENT_LENGTH.search(data, 0, end + 2)
    body = 0 if length is None else int(length[1])
    return len(data) >= end + len(_HEAD_END) + body


def try_fast_path(sock: socket.socket, handler: FastPathHandler) -> bool:
    """Answer the request that has arrived on a connection, if ``handler`` returns an answer.

    Otherwise nothing is read from the connection. After an answer, the caller of this function must
    close the connection. All bytes of the request have been read by then, because closing a
    connection with unread bytes would reset it.

    Returns
    -------
    bool
        Whether the request was answered.
    """
    data = peek_received(sock)
    head = parse_complete_request(data) if data else None
    reply = None if head is None else handler(head)
    if reply is None:
        return False
    try:
        sock.recv(len(data))
        sock.send(reply, socket.MSG_DONTWAIT)
    except OSError as exc:
        log_event("early_answer_not_sent", level="DEBUG", exc=exc)
    return True
