"""Strict parsing of request framing.

A request that two parsers could delimit differently is refused, to prevent request smuggling: bytes
that one parser reads as the rest of a body are a second request for the other, whose answer goes to
the wrong caller. The rules are those of RFC 9112, sections 6.1 and 6.3.
"""

import re
from collections.abc import Iterator

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HeaderReader, HTTPRequest

_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
"""A chunk's size, below 4 GiB, and its extensions, which are ignored (RFC 9112, section 7.1)."""

_MAX_CHUNK_HEADER_BYTES = 256
"""A longer line is refused before it is read in full; extensions are rare and short."""

_PIECE_BYTES = 65536
_CRLF = b"\r\n"
_MISSING = b""
_CONTINUE = b"100-continue"
_SINGLE_VALUE_HEADERS = (b"Content-Length", b"Transfer-Encoding", b"Host")


class FramingError(ValueError):
    """The framing of a request is malformed or ambiguous."""


class StrictHeaderReader(HeaderReader):
    """Reads header lines into a dict and refuses ambiguous ones.

    The values of a repeated header are joined by commas. Content-Length, Transfer-Encoding and Host
    may appear only once. Names are converted to title case, as cheroot expects.
    """

    def __call__(self, rfile, hdict: dict | None = None) -> dict:
        headers = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _split_line(line)
            if name in headers:
                if name in _SINGLE_VALUE_HEADERS:
                    raise FramingError(f"{name.decode()} is given twice")
                value = headers[name] + b", " + value
            headers[name] = value
        _check_body_framing(headers)
        return headers


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        raise FramingError("a header line does not end with CRLF")
    name, colon, value = line[:-2].partition(b":")
    # Parsers disagree on a space before the colon and on folded lines.
    if not colon or not _HEADER_NAME.fullmatch(name):
        raise FramingError("a header line has no valid name")
    value = value.strip(b" \t")
    if b"\r" in value or b"\n" in value or b"\0" in value:
        raise FramingError("a header value holds a control character")
    return name.title(), value


def _check_body_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        raise FramingError("both Content-Length and Transfer-Encoding are given")
    if length is not None and not _DIGITS.fullmatch(length):
        raise FramingError("Content-Length is not a number")
    if coding is not None and coding.lower() != b"chunked":
        raise FramingError("Transfer-Encoding is not chunked")


class StrictChunkReader:
    """File wrapper that validates the header line of each chunk of a chunked body.

    cheroot parses a chunk's size with :func:`int`, which accepts signs, ``0x``, underscores
    and blanks, and treats a negative size as the end of the body. The bytes that follow
    would then be parsed as the next request on the connection.
    """

    def __init__(self, rfile) -> None:
        self._rfile = rfile
        self._in_trailer = False

    def readline(self, size: int | None = None) -> bytes:
        """Read a chunk's header line, or a line of the trailer section after the last chunk."""
        if self._in_trailer:
            return self._rfile.readline(size)
        line = self._rfile.readline(_MAX_CHUNK_HEADER_BYTES)
        match = _CHUNK_HEADER.fullmatch(line)
        if match is None:
            raise FramingError("a chunk has no valid size")
        self._in_trailer = int(match[1], 16) == 0
        return line

    def read(self, size: int) -> bytes:
        """Read ``size`` bytes of a chunk."""
        data = self._rfile.read(size)
        if len(data) < size:
            raise FramingError("a chunk ended early")
        return data

    def pieces(self, max_bytes: int) -> Iterator[bytes]:
        """Yield the body in pieces as they arrive, and read its trailer section.

        Parameters
        ----------
        max_bytes : int
            Limit of the body, and of its trailer section.

        Raises
        ------
        FramingError
            The body is malformed, or ended early.
        MaxSizeExceeded
            The body is too large.
        """
        total = 0
        while size := self._read_size():
            total += size
            if total > max_bytes:
                raise MaxSizeExceeded(f"over {max_bytes} bytes")
            while size:
                piece = self.read(min(size, _PIECE_BYTES))
                size -= len(piece)
                yield piece
            if self.read(len(_CRLF)) != _CRLF:
                raise FramingError("a chunk is longer than its size")
        self._read_trailer(max_bytes)

    def _read_size(self) -> int:
        return int(_CHUNK_HEADER.fullmatch(self.readline())[1], 16)

    def _read_trailer(self, max_bytes: int) -> None:
        # The trailer section belongs to the body. Left unread, it would be parsed as the next
        # request on this connection.
        while (line := self.readline()) != _CRLF:
            max_bytes -= len(line)
            if not line.endswith(_CRLF) or max_bytes < 0:
                raise FramingError("the trailer section is malformed or too large")

    def close(self) -> None:
        """Close the wrapped file."""
        self._rfile.close()


class StrictRequest(HTTPRequest):
    """A request whose framing errors close the connection."""

    header_reader = StrictHeaderReader()

    def respond(self) -> None:
        """Handle the request, with strict parsing of a chunked body."""
        if not self.chunked_read:
            super().respond()
            return
        rfile = self.conn.rfile
        self.conn.rfile = StrictChunkReader(rfile)
        try:
            super().respond()
        finally:
            self.conn.rfile = rfile

    def parse_request(self) -> None:
        """Read the head and set ``ready`` to false if it is refused."""
        super().parse_request()
        if not self.ready:
            self.close_connection = True
            return
        if self.response_protocol == "HTTP/1.0" and b"Transfer-Encoding" in self.inheaders:
            self._refuse("Transfer-Encoding in HTTP/1.0")
            return
        if self.response_protocol == "HTTP/1.1" and b"Host" not in self.inheaders:
            self._refuse("Host is missing")
            return
        if self.inheaders.get(b"Expect", _CONTINUE).lower() != _CONTINUE:
            self._refuse("Expect is not 100-continue", "417 Expectation Failed")
            return
        connection = self.inheaders.get(b"Connection", _MISSING).lower()
        if b"close" in [token.strip() for token in connection.split(b",")]:
            self.close_connection = True

    def _refuse(self, reason: str, status: str = "400 Bad Request") -> None:
        self.ready = False
        self.close_connection = True
        self.simple_response(status, reason)
