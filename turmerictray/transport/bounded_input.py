"""Input of a connection, bounded in time and size.

A time-out of a socket bounds a single read. A peer that sends a byte now and then, or bytes without
end, would keep a reader of lines for any time, and fill its memory.
"""

import http.client
import io
import math
import os
import socket
import time
from contextlib import suppress

import urllib3

from turmerictray.transport.acknowledgement import unacknowledged_bytes
from turmerictray.transport.answer_reader import AnswerReader, InputTooLarge
from turmerictray.transport.answer_response import AnswerResponse
from turmerictray.transport.body import CHUNK_HEADER, STATUSES_WITHOUT_BODY, BodyEnd, body_of

MAX_HEAD_BYTES = 256 << 10
"""Bytes that may be received for the head of an answer, interim answers included. A reader's buffer
counts, which may hold the beginning of the body."""

_MAX_RESPONSE_BYTES = 32 << 20
"""Bytes of a whole response of a peer or the store. A page of the store has about 1 MB, and the
documents of a fleet with thousands of targets as much."""

_TIME_FACTOR = 2.0
"""Time for a whole response, as a multiple of the time allowed for a single read."""


class ConnectionGivenUp(OSError):
    """This process has shut the connection down itself."""


def check_request_arrived(sock: socket.socket) -> None:
    """Check that a peer that has closed a connection had received all that was sent on it.

    An error of a socket is told once. If a write got it, a read finds nothing but a clean end.

    Raises
    ------
    ConnectionError
        The peer has not acknowledged all, or has reset the connection.
    """
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise ConnectionResetError(error, os.strerror(error))
    unsent = unacknowledged_bytes(sock)
    if unsent:
        raise ConnectionResetError(f"closed by the peer before {unsent} bytes had arrived")


class BoundedInput(io.RawIOBase):
    """Raw input of a socket that ends at a deadline, and after a number of bytes.

    Only a close by the peer is an end of the input. After :meth:`give_up` each read raises, so that
    no reader can take the shutdown of the socket for the end of a message.

    Parameters
    ----------
    sock : socket.socket
    raw : socket.SocketIO
        Reads from ``sock``.

    Attributes
    ----------
    is_closed_by_peer : bool
        Whether a read has found the connection closed or broken by the peer.
    """

    def __init__(self, sock: socket.socket, raw: socket.SocketIO) -> None:
        self._sock = sock
        self._raw = raw
        self._deadline: float | None = None
        self._read_timeout_s = math.inf
        self._left = math.inf
        self._is_given_up = False
        self.is_closed_by_peer = False

    def give_up(self) -> None:
        """Shut the connection down, from any thread; a blocked read or write fails at once."""
        self._is_given_up = True
        # The peer may have closed it already.
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def set_bounds(
        self,
        deadline: float,
        max_bytes: float = math.inf,
        read_timeout_s: float = math.inf,
    ) -> None:
        """Bound all reads from now on.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        max_bytes : float
        read_timeout_s : float
            Time limit of each single read, in seconds.
        """
        self._deadline = deadline
        self._left = max_bytes
        self._read_timeout_s = read_timeout_s

    def set_nonblocking(self) -> None:
        """Let reads return at once with what has arrived."""
        self._deadline = None
        self._left = math.inf
        self._sock.settimeout(0)

    def remove_bounds(self, read_timeout_s: float) -> None:
        """Bound single reads only."""
        self.set_bounds(math.inf, math.inf, read_timeout_s)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: bytearray) -> int | None:
        """Read what has arrived.

        Raises
        ------
        TimeoutError
            Nothing arrived in time.
        InputTooLarge
            More has arrived than may.
        ConnectionGivenUp
            The connection was given up.
        ConnectionError
            The connection broke, or the peer closed it before it had all that was sent.
        """
        if self._deadline is not None:
            left_s = min(self._deadline - time.monotonic(), self._read_timeout_s)
            if left_s <= 0:
                raise TimeoutError("timed out")
            self._sock.settimeout(None if left_s == math.inf else left_s)
        try:
            count = self._raw.readinto(buffer)
        except ConnectionError:
            self.is_closed_by_peer = not self._is_given_up
            raise
        if self._is_given_up:
            raise ConnectionGivenUp("given up by this process")
        self.is_closed_by_peer = count == 0
        if self.is_closed_by_peer:
            check_request_arrived(self._sock)
        self._left -= count or 0
        if self._left < 0:
            raise InputTooLarge("more bytes than an answer may have")
        return count

    def close(self) -> None:
        """Close the socket's reader."""
        self._raw.close()
        super().close()


class _SingleAnswerReader(AnswerReader):
    """A reader of one answer, which ends the connection if it has read more.

    The bytes are lost with the reader, and the next answer would be read from its middle, or be
    that of another request.
    """

    def __init__(self, raw: BoundedInput) -> None:
        super().__init__(raw)
        self._input = raw

    def close(self) -> None:
        """Close the reader."""
        if not self.closed:
            with suppress(OSError):
                self._input.set_nonblocking()
                if self.peek(1):
                    self._input.give_up()
        super().close()


class _StrictChunks:
    """File of a chunked body, of which each chunk is validated.

    :mod:`http.client` and urllib3 parse the size of a chunk with :func:`int`, which accepts signs,
    ``0x`` and underscores, and drop two bytes of any kind after it.
    """

    def __init__(self, reader: AnswerReader) -> None:
        self._reader = reader
        self._left = 0
        self._in_trailer = False

    def readline(self, size: int) -> bytes:
        """Read a chunk's header line, or a line of the trailer section after the last chunk."""
        line = self._reader.readline(size)
        if self._in_trailer:
            return line
        match = CHUNK_HEADER.fullmatch(line)
        if match is None:
            raise http.client.HTTPException("a chunk has no valid size")
        self._left = int(match[1], 16)
        self._in_trailer = not self._left
        return line

    def read(self, size: int) -> bytes:
        """Read ``size`` bytes of a chunk, or the end of its last line."""
        data = self._reader.read(size)
        if not self._left and data and data != b"\r\n":
            raise http.client.HTTPException("a chunk is longer than its size")
        self._left = max(0, self._left - len(data))
        return data

    def flush(self) -> None:
        """Do nothing; the file is only read."""

    def close(self) -> None:
        """Close the reader."""
        self._reader.close()


class BoundedResponse(AnswerResponse):
    """A response that is bounded as a whole, by the time-out of its socket.

    The end of the connection within a line is an error, see :class:`AnswerReader`, and so is a body
    whose length is ambiguous, see :func:`~turmerictray.transport.body.body_of`.
    """

    def __init__(self, sock: socket.socket, *args: object, **options: object) -> None:
        super().__init__(sock, *args, **options)
        self._input = BoundedInput(sock, self.fp.detach())
        self.fp = _SingleAnswerReader(self._input)
        self._read_timeout_s = sock.gettimeout() or math.inf
        deadline = time.monotonic() + _TIME_FACTOR * self._read_timeout_s
        self._input.set_bounds(deadline, _MAX_RESPONSE_BYTES, self._read_timeout_s)

    def begin(self) -> None:
        """Read the head; refuse a body whose length says that it is too large.

        It would be refused only once memory for it has been allocated.
        """
        self._read_framed_head()
        if self.length is not None and self.length > _MAX_RESPONSE_BYTES:
            raise InputTooLarge(f"a body of {self.length} bytes")

    def _read_framed_head(self) -> None:
        super().begin()
        try:
            end = body_of(self, self._method, self.fp).end
        except ValueError as exc:
            raise http.client.HTTPException(str(exc)) from exc
        has_length = self.length is not None
        if (self.chunked, has_length) != (end is BodyEnd.LAST_CHUNK, end is BodyEnd.LENGTH):
            raise http.client.HTTPException("the end of the body can be read in two ways")
        if self.chunked:
            self.fp = _StrictChunks(self.fp)


class StreamedResponse(BoundedResponse):
    """A response of which only the head is bounded as a whole."""

    def begin(self) -> None:
        """Read the head."""
        deadline = time.monotonic() + _TIME_FACTOR * self._read_timeout_s
        self._input.set_bounds(deadline, MAX_HEAD_BYTES, self._read_timeout_s)
        self._read_framed_head()
        self._input.remove_bounds(self._read_timeout_s)


class BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses are bounded."""

    response_class = BoundedResponse


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """Connections to one host whose responses are bounded."""

    ConnectionCls = BoundedConnection


def body_end_of(resp: urllib3.BaseHTTPResponse) -> BodyEnd:
    """Return what delimits the body of a bounded response."""
    if resp.chunked:
        return BodyEnd.LAST_CHUNK
    has_length = "Content-Length" in resp.headers or resp.status in STATUSES_WITHOUT_BODY
    return BodyEnd.LENGTH if has_length else BodyEnd.CONNECTION_CLOSE


def bounded_pool_manager(
    pool_class: type[urllib3.HTTPConnectionPool] = BoundedConnectionPool, **options: object
) -> urllib3.PoolManager:
    """Return a pool manager of bounded responses, for http addresses."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager
