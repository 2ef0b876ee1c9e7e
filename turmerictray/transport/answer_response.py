"""Response of :mod:`http.client` that is a final answer with a valid head."""

import http.client
from email import errors
from http import HTTPStatus

_MAX_STATUS = 599

_LOST_FIELDS = (
    errors.FirstHeaderLineIsContinuationDefect,
    errors.InvalidHeaderDefect,
    errors.MisplacedEnvelopeHeaderDefect,
    errors.MissingHeaderBodySeparatorDefect,
)
"""Defects of a head with lines that are no header fields.

The parser drops such a line, and with some of them all lines that follow.
"""


class AnswerResponse(http.client.HTTPResponse):
    """A response whose head is that of a final answer, with all its fields.

    :mod:`http.client` skips an interim answer only if its status is 100. Any other one would be the
    answer, and the final answer that follows would be its body. A line that is no header field
    would hide the fields after it, and an answer whose length is hidden ends wherever its
    connection does.
    """

    def begin(self) -> None:
        """Read heads up to that of the final answer.

        Raises
        ------
        http.client.HTTPException
            A head is invalid, or the peer switches to another protocol.
        """
        self._read_head()
        while self.status < HTTPStatus.OK:
            if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("the peer switches to another protocol")
            # The base class reads a head only if there is none yet.
            self.headers = self.msg = None
            self._read_head()

    def _read_head(self) -> None:
        super().begin()
        if self.status > _MAX_STATUS:
            raise http.client.BadStatusLine(f"status {self.status}")
        if any(isinstance(defect, _LOST_FIELDS) for defect in self.headers.defects):
            raise http.client.HTTPException("a line of the head is no header field")
