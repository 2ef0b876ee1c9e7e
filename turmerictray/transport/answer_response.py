"""Response of :mod:`http.client` that takes only a final answer for the answer."""

import http.client
from http import HTTPStatus


class AnswerResponse(http.client.HTTPResponse):
    """A response whose head is that of a final answer.

    :mod:`http.client` skips an interim answer only if its status is 100. Any other one would be the
    answer, and the final answer that follows would be its body.
    """

    def begin(self) -> None:
        """Read heads up to that of the final answer.

        Raises
        ------
        http.client.HTTPException
            A head is invalid, or the peer switches to another protocol.
        """
        super().begin()
        while self.status < HTTPStatus.OK:
            if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException("the peer switches to another protocol")
            # The base class reads a head only if there is none yet.
            self.headers = self.msg = None
            super().begin()
