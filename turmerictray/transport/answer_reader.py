"""Reader of answers that takes the end of a connection within a line for an error."""

import http.client
import io


class AnswerReader(io.BufferedReader):
    """A buffered reader that returns no incomplete lines.

    :mod:`http.client` and urllib3 take the end of a connection for the end of a head, and within
    the size line of a chunk or in a trailer section for the end of a body.
    """

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line, or ``size`` bytes of it.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended within the line.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.IncompleteRead(line)
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response that is read with an :class:`AnswerReader`."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.fp = AnswerReader(self.fp.detach())
