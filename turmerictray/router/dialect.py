"""What a router needs to know of the headers that callers and targets use.

The names differ between deployments; a :class:`Dialect` reads and writes them, and the life of a
request is the same under each.
"""

from dataclasses import dataclass
from typing import Protocol

from turmerictray.core.ids import RequestId, TeamId
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import Prompt
from turmerictray.transport.exchange import Header, RequestHead
from turmerictray.transport.target_conn import AnswerHead


@dataclass(frozen=True)
class Envelope:
    """What the head of a caller's request says beside its route.

    Attributes
    ----------
    request_id : RequestId
        Unique for each attempt of a caller.
    key : str or None
        The key that the caller presents.
    caller_left_s : float or None
        How long the caller will wait, in seconds from now.
    prompt : Prompt or None
    headers : list of Header
        Passed on to the target as they are.
    """

    request_id: RequestId
    key: str | None
    caller_left_s: float | None
    prompt: Prompt | None
    headers: list[Header]


@dataclass(frozen=True)
class AnswerSigns:
    """What the head of a target's answer says.

    Attributes
    ----------
    not_run : bool
        The target did not run the request and won't.
    own : bool
        The answer belongs to the request that was sent.
    genuine : bool
        The answer bears what a genuine answer of a target bears.
    leaving : bool
        The target takes no more requests on this connection, which it closes.
    """

    not_run: bool
    own: bool
    genuine: bool
    leaving: bool


class Dialect(Protocol):
    """Reads and writes the headers of one deployment."""

    def read(self, head: RequestHead) -> Envelope:
        """Read a caller's head; raises :class:`~turmerictray.core.errors.CallerError`."""

    def target_headers(
        self,
        envelope: Envelope,
        target: TargetInfo,
        team: TeamId | None,
        left_s: float,
        resume_after: str | None,
        fetch_from: str,
    ) -> list[Header]:
        """The headers of the request to a target.

        Parameters
        ----------
        left_s : float
            How long the target may work, in seconds.
        resume_after : str or None
            Id of the last event that the caller has, when a broken stream goes on.
        fetch_from : str
            ``host:port`` of the engine that keeps parts which the target doesn't; empty for none.
        """

    def signs(self, answer: AnswerHead, envelope: Envelope) -> AnswerSigns:
        """Read the head of a target's answer."""

    def answer_headers(self, answer: AnswerHead) -> list[Header]:
        """The headers of a target's answer that go to the caller."""

    def retry_after(self, seconds: float) -> Header:
        """The header that tells a refused caller when to come back."""
