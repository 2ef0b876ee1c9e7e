"""Interface to the HTTP headers that the callers and targets of a deployment use.

Header names differ between deployments. A :class:`Dialect` parses and writes them, so that the rest
of the request path does not depend on the deployment.
"""

from dataclasses import dataclass
from typing import Protocol

from turmerictray.core.ids import RequestId, TeamId
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Prompt
from turmerictray.routing.target_notices import NOTHING_REPORTED, TargetReport
from turmerictray.transport.exchange import Header, RequestHead
from turmerictray.transport.target_conn import AnswerHead


@dataclass(frozen=True)
class Envelope:
    """Metadata from the head of a caller's request, without its route.

    Attributes
    ----------
    request_id : RequestId
        Unique for each request that a caller sends, its retries included.
    key : str or None
        The caller's API key.
    caller_timeout_s : float or None
        How long the caller will wait, in seconds from now; None if it sent no limit.
    prompt : Prompt or None
        None for a request to a plain service.
    headers : list of Header
        Forwarded to the target unchanged.
    resumes : RequestId or None
        Request that brought the first event of the stream that this one takes up; empty if the
        caller doesn't name it, None if the request takes up no stream.
    """

    request_id: RequestId
    key: str | None
    caller_timeout_s: float | None
    prompt: Prompt | None
    headers: list[Header]
    resumes: RequestId | None = None


@dataclass(frozen=True)
class AnswerFlags:
    """Properties of a target's answer that its head shows.

    Attributes
    ----------
    not_run : bool
        Whether the target states that it has not run the request and will not run it.
    matches_request : bool
        Whether the answer belongs to the request that was sent.
    is_genuine : bool
        Whether the answer carries the signature that targets add to their answers.
    report : TargetReport
        What the answer tells of its target. Only an answer that surely comes from the target, to
        this request, tells anything.
    """

    not_run: bool
    matches_request: bool
    is_genuine: bool
    report: TargetReport = NOTHING_REPORTED


class Dialect(Protocol):
    """Parser and writer of the headers of one deployment."""

    def read(self, head: RequestHead) -> Envelope:
        """Parse the head of a caller's request.

        Raises
        ------
        CallerError
            The head is invalid.
        """

    def target_headers(
        self,
        envelope: Envelope,
        target: TargetInfo,
        team: TeamId | None,
        left_s: float,
        resume_after: str | None,
        fetch_from: str,
    ) -> list[Header]:
        """Return the headers of the request to a target.

        Parameters
        ----------
        left_s : float
            Time until the target's answer must be complete, in seconds.
        resume_after : str or None
            Id of the last event that the caller has received, to resume a broken stream.
        fetch_from : str
            ``host:port`` of an engine that caches prompt parts which the target lacks; empty for
            none.
        """

    def read_answer(self, answer: AnswerHead, envelope: Envelope) -> AnswerFlags:
        """Parse the head of a target's answer."""

    def answer_headers(self, answer: AnswerHead) -> list[Header]:
        """Return the headers of a target's answer that are forwarded to the caller."""

    def retry_after(self, seconds: float) -> Header:
        """Return the header with the time in seconds that a refused caller waits before a retry."""
