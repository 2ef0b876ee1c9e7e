"""Reader of answers that takes the end of a connection within a line for an error."""

import http.client
import io

_MAX_CONSECUTIVE_LINES = 256
"""Lines without body data between them: those of a head, or of a trailer section. More than the
hundred header fields that :mod:`http.client` accepts, with some interim answers before them."""


class InputTooLarge(OSError):
    """A peer has sent more than it may."""


class AnswerReader(io.BufferedReader):
    """A buffered reader that returns no incomplete lines, and not any number of them.

    :mod:`http.client` and urllib3 take the end of a connection for the end of a head, and within
    the size line of a chunk or in a trailer section for the end of a body. They read interim
    answers and trailer sections of any length.
    """

    _line_count = 0

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line, or ``size`` bytes of it.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended within the line.
        http.client.HTTPException
            There is a carriage return within the line.
        InputTooLarge
            There were too many lines.
        """
        self._line_count += 1
        if self._line_count > _MAX_CONSECUTIVE_LINES:
            raise InputTooLarge("too many lines in a head or trailer section")
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.IncompleteRead(line)
        # The parser of header fields takes it for the end of a line.
        if b"\r" in line[:-2]:
            raise http.client.HTTPException("a carriage return within a line")
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read body data."""
        self._line_count = 0
        return super().read(size)

    def read1(self, size: int = -1) -> bytes:
        """Read body data with at most one read of the connection."""
        self._line_count = 0
        return super().read1(size)

    def readinto(self, buffer: bytearray) -> int:
        """Read body data."""
        self._line_count = 0
        return super().readinto(buffer)

    def begin_answer(self) -> None:
        """Begin to read another answer."""
        self._line_count = 0
