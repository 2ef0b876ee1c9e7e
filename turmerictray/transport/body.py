"""Bodies of answers: where one ends, and what proves that it is complete.

The rules are those of RFC 9112, sections 6.3 and 7.1. Each body is read from a buffered reader
whose ``readline`` raises :class:`http.client.IncompleteRead` if the connection ends within a line.
"""

import http.client
import io
import re
from abc import ABC, abstractmethod
from enum import Enum
from http import HTTPStatus

_READ_SIZE_BYTES = 65536
_MAX_LINE_BYTES = 8192
_DIGITS = re.compile(r"[0-9]{1,15}")
CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r?\n")
_LINE_ENDS = (b"\r\n", b"\n")
STATUSES_WITHOUT_BODY = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class BodyEnd(Enum):
    """What delimits the body of an answer.

    A length and a last chunk prove that the body is complete. The close of the connection does not:
    it also ends a body that was broken off.
    """

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CONNECTION_CLOSE = "connection_close"


class Body(ABC):
    """The body of one answer, read in pieces as they arrive.

    Attributes
    ----------
    end : BodyEnd
    is_complete : bool
        Whether the end has been read.
    """

    end: BodyEnd

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        self.is_complete = False

    @abstractmethod
    def read_available(self) -> bytes:
        """Wait for data; return what has arrived, or b"" at the end of the body.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended before the body.
        ValueError
            The body is malformed.
        OSError
            The connection broke, or no data arrived in time.
        """

    def is_readable(self, buffered: bytes) -> bool:
        """Return whether a read needs no more than the reader's ``buffered`` bytes."""
        return self.is_complete or bool(buffered)

    def _read_up_to(self, size: int) -> bytes:
        data = self._reader.read1(min(size, _READ_SIZE_BYTES))
        if not data:
            raise http.client.IncompleteRead(b"", size)
        return data


class LengthBody(Body):
    """A body of known length in bytes."""

    end = BodyEnd.LENGTH

    def __init__(self, reader: io.BufferedReader, length: int) -> None:
        super().__init__(reader)
        self._left = length
        self.is_complete = not length

    def read_available(self) -> bytes:
        if self.is_complete:
            return b""
        data = self._read_up_to(self._left)
        self._left -= len(data)
        self.is_complete = not self._left
        return data


class ChunkedBody(Body):
    """A body in chunks; the trailer section is read and dropped."""

    end = BodyEnd.LAST_CHUNK

    def __init__(self, reader: io.BufferedReader) -> None:
        super().__init__(reader)
        self._left = 0
        self._in_chunk = False

    def read_available(self) -> bytes:
        if not self._left and not self.is_complete:
            self._begin_chunk()
        if self.is_complete:
            return b""
        data = self._read_up_to(self._left)
        self._left -= len(data)
        return data

    def is_readable(self, buffered: bytes) -> bool:
        if self._left or self.is_complete:
            return super().is_readable(buffered)
        # The end of the last chunk usually arrives with it, long before the next one.
        lines = buffered.split(b"\n", 2)
        return len(lines) > (2 if self._in_chunk else 1)

    def _begin_chunk(self) -> None:
        if self._in_chunk and self._reader.readline(_MAX_LINE_BYTES) not in _LINE_ENDS:
            raise ValueError("a chunk is longer than its size")
        header = CHUNK_HEADER.fullmatch(self._reader.readline(_MAX_LINE_BYTES))
        if header is None:
            raise ValueError("a chunk has no valid size")
        self._left = int(header[1], 16)
        self._in_chunk = True
        if not self._left:
            self._read_trailer()
            self.is_complete = True

    def _read_trailer(self) -> None:
        while self._reader.readline(_MAX_LINE_BYTES) not in _LINE_ENDS:
            pass


class UnframedBody(Body):
    """A body without length or chunks, which ends with its connection."""

    end = BodyEnd.CONNECTION_CLOSE

    def read_available(self) -> bytes:
        data = b"" if self.is_complete else self._reader.read1(_READ_SIZE_BYTES)
        self.is_complete = not data
        return data


def body_of(resp: http.client.HTTPResponse, method: str, reader: io.BufferedReader) -> Body:
    """Return the body that follows the head of an answer.

    Parameters
    ----------
    resp : http.client.HTTPResponse
        An answer whose head has been read.
    method : str
        Method of the request.
    reader : io.BufferedReader
        Reader at the first byte after the head.

    Raises
    ------
    ValueError
        The head delimits the body ambiguously.
    """
    if method == "HEAD" or resp.status in STATUSES_WITHOUT_BODY:
        return LengthBody(reader, 0)
    codings = _values(resp, "Transfer-Encoding")
    lengths = set(_values(resp, "Content-Length"))
    if codings:
        if lengths or [coding.lower() for coding in codings] != ["chunked"]:
            raise ValueError("Transfer-Encoding is ambiguous or not chunked")
        return ChunkedBody(reader)
    if not lengths:
        return UnframedBody(reader)
    length = lengths.pop()
    if lengths or not _DIGITS.fullmatch(length):
        raise ValueError("Content-Length is ambiguous or not a number")
    return LengthBody(reader, int(length))


def _values(resp: http.client.HTTPResponse, name: str) -> list[str]:
    fields = resp.headers.get_all(name, [])
    return [value.strip() for field in fields for value in field.split(",")]
