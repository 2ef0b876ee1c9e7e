"""Strict reading of request heads.

A request that two parsers could take apart differently is refused: what one takes as the rest of
a body the other takes as a second request, and its answer goes to the wrong caller. The rules are
those of RFC 9112, sections 6.1 and 6.3.
"""

import re

from cheroot.server import HeaderReader, HTTPRequest

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_ABSENT = b""
_FRAMING = (b"Content-Length", b"Transfer-Encoding", b"Host")


class FramingError(ValueError):
    """The head of a request is malformed or ambiguous."""


class StrictHeaderReader(HeaderReader):
    """Reads header lines into a dict and refuses what is ambiguous.

    A header that repeats is joined by commas, except the ones that frame the message or name its
    host, which may come once. Names keep their case folded to title case, as cheroot expects.
    """

    def __call__(self, rfile, hdict: dict | None = None) -> dict:
        headers = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _split_line(line)
            if name in headers:
                if name in _FRAMING:
                    raise FramingError(f"{name.decode()} is given twice")
                value = headers[name] + b", " + value
            headers[name] = value
        _check_body_framing(headers)
        return headers


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        raise FramingError("a header line does not end with CRLF")
    name, colon, value = line[:-2].partition(b":")
    # A space before the colon and a folded line are read differently by different parsers.
    if not colon or not _NAME.fullmatch(name):
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


class StrictRequest(HTTPRequest):
    """A request whose framing errors end the connection."""

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head; ``ready`` is false when it was refused."""
        super().parse_request()
        if not self.ready:
            self.close_connection = True
            return
        if self.response_protocol == "HTTP/1.0" and b"Transfer-Encoding" in self.inheaders:
            self.ready = False
            self.close_connection = True
            self.simple_response("400 Bad Request", "Transfer-Encoding in HTTP/1.0")
        connection = self.inheaders.get(b"Connection", _ABSENT).lower()
        if b"close" in [token.strip() for token in connection.split(b",")]:
            self.close_connection = True
