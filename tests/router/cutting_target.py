"""A target that sends some bytes of an answer and then ends its connection."""

import itertools
import re
import socket
import time

from tests.socket_target import SocketTarget
from turmerictray.transport.reset import set_reset_on_close

EVENTS = [f"id: {n}\r\ndata: piece-{n}\r\n\r\n".encode() for n in (1, 2, 3)]
STREAM = b"".join(EVENTS)
STREAM_BOUNDARIES = list(itertools.accumulate(len(event) for event in EVENTS))
BODY = b'{"slot": "confirmed"}'

_SIGNED = b"X-Request-Id: a1\r\nX-Server-Seal: s\r\n"
INTERIM_ANSWERS = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "100-fields": b"HTTP/1.1 100 Continue\r\n" + _SIGNED + b"Content-Length: 0\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\n" + _SIGNED + b"Link: </a>; rel=preload\r\n\r\n",
    "several": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" * 3,
}
"""Answers that may come before a final one, by name."""

LINES_WITHOUT_FIELD = {
    "no-colon": b"X-Note\r\n",
    "blank-before-colon": b"X-Note : 1\r\n",
    "no-name": b": 1\r\n",
    "invalid-name": b"X-N\xf6te: 1\r\n",
    "envelope": b"From a: 1\r\n",
    "cr": b"X-Note: a\rb\r\n",
    "cr-field": b"X-Note: a\rContent-Length: 5\r\n",
    "cr-end": b"X-Note: a\r\r\n",
}
"""Lines of a head that parsers read differently, by name."""


def _chunked(body: bytes) -> bytes:
    size = len(body) // 3 + 1
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    # Leading zeros: a size line that is cut after the first of them looks like the last chunk's.
    chunks = b"".join(b"%06x;ext=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return chunks + b"0\r\nX-Trailer: 1\r\n\r\n"


def frame(body: bytes, framing: str) -> tuple[str, bytes]:
    """Return the header field that delimits a body, and its bytes on the wire."""
    if framing == "length":
        return f"Content-Length: {len(body)}\r\n", body
    if framing == "chunks":
        return "Transfer-Encoding: chunked\r\n", _chunked(body)
    return "", body


def make_answer(framing: str, is_stream: bool, status: int) -> tuple[bytes, bytes]:
    """Return the head of an answer and its body on the wire."""
    header, wire = frame(STREAM if is_stream else BODY, framing)
    kind = "text/event-stream" if is_stream else "application/json"
    head = (
        f"HTTP/1.1 {status} OK\r\nX-Request-Id: a1\r\nX-Server-Seal: s\r\n"
        f"Content-Type: {kind}\r\n{header}\r\n"
    )
    return head.encode(), wire


INVALID_STATUSES = ["000", "0", "099", "600", "999", "1000", "20", "2_0", "+20", "-01", "abc", ""]
"""Statuses that no answer may have."""

AMBIGUOUS_LENGTHS = [
    "Content-Length: 21\r\nContent-Length: 5\r\n",
    "Content-Length: 21x\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 2_1\r\n",
    "Content-Length:\r\n",
    "Content-Length: 21\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
]
"""Fields of a head that don't say where its body ends."""

INVALID_CHUNKS = {
    "sign": b"+5\r\nabcde\r\n0\r\n\r\n",
    "negative": b"-5\r\nabcde\r\n0\r\n\r\n",
    "prefix": b"0x5\r\nabcde\r\n0\r\n\r\n",
    "underscore": b"0_5\r\nabcde\r\n0\r\n\r\n",
    "blank": b" 5\r\nabcde\r\n0\r\n\r\n",
    "too-long": b"5\r\nabcdefg0\r\n\r\n",
    "negative-last": b"5\r\nabcde\r\n-0\r\n\r\n",
}
"""Bodies in chunks that parsers read differently, by name."""


def add_line(head: bytes, line: bytes) -> bytes:
    """Return a head with a line before its last field."""
    before, _, last = head[:-4].rpartition(b"\r\n")
    return before + b"\r\n" + line + last + b"\r\n\r\n"


def _read_request(conn: socket.socket) -> None:
    """Read a whole request; closed with unread bytes, the connection would be reset."""
    data = b""
    while b"\r\n\r\n" not in data:
        if not (received := conn.recv(65536)):
            return
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head.lower())
    while len(body) < (int(length[1]) if length else 0):
        body += conn.recv(65536)


class CuttingTarget(SocketTarget):
    """Sends some bytes on each connection and then ends it, by ``exit`` as all others."""

    def __init__(self) -> None:
        self.data = b""
        self.how = "fin"
        self.one_by_one = False
        self._held: list[socket.socket] = []
        super().__init__()

    def serve(self, conn: socket.socket) -> None:
        try:
            _read_request(conn)
        except ConnectionResetError:
            return
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in [bytes([b]) for b in self.data] if self.one_by_one else [self.data]:
            conn.sendall(piece)
        if self.how == "reset":
            # The reset must not overtake the data.
            time.sleep(0.002)
            set_reset_on_close(conn, True)
        if self.how == "half_close":
            conn.shutdown(socket.SHUT_WR)
        if self.how == "exit":
            super().close()
        if self.how in ("half_close", "silence"):
            self._held.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        super().close()
        for conn in self._held:
            conn.close()
