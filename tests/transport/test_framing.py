"""Refusal of request heads that are ambiguous between parsers."""

import io

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmerictray.transport.framing import FramingError, StrictHeaderReader


def read(*lines: bytes) -> dict[bytes, bytes]:
    return StrictHeaderReader()(io.BytesIO(b"\r\n".join([*lines, b"", b""])))


@pytest.mark.parametrize(
    "lines",
    [
        (b"Content-Length: 3", b"Transfer-Encoding: chunked"),
        (b"Content-Length: 3", b"Content-Length: 4"),
        (b"Content-Length: 3", b"content-length: 3"),
        (b"Content-Length: +3",),
        (b"Content-Length: 3, 3",),
        (b"Transfer-Encoding: chunked, identity",),
        (b"Transfer-Encoding: xchunked",),
        (b"Transfer-Encoding : chunked",),
        (b"Host: a", b"Host: b"),
        (b"X-A: 1", b" folded"),
        (b"no colon",),
        (b": no name",),
        (b"X-A: a\x00b",),
        (b"X-A: a\nX-B: c",),
    ],
)
def test_ambiguous_heads_are_refused(lines):
    with pytest.raises(FramingError):
        read(*lines)


def test_truncated_head_is_refused():
    with pytest.raises(FramingError):
        StrictHeaderReader()(io.BytesIO(b"Host: a\r\nX-A: 1"))


def test_repeated_headers_are_joined():
    assert read(b"X-A: 1", b"x-a:2 ")[b"X-A"] == b"1, 2"


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data):
    try:
        headers = StrictHeaderReader()(io.BytesIO(data + b"\r\n\r\n"))
    except FramingError:
        return
    assert not (b"Content-Length" in headers and b"Transfer-Encoding" in headers)
    assert not any(b"\n" in val or b"\0" in val for val in headers.values())
