"""The exception tree.

Every layer raises its own subclass of :class:`TurmerictrayError` and turns the errors of the
layer below into one of its own, so that a caller of a layer handles only that layer's errors.
"""


class TurmerictrayError(Exception):
    """Base of every error raised by turmerictray."""


class SettingsError(TurmerictrayError):
    """A daemon or stand-in settings file was refused.

    Parameters
    ----------
    source : str
        The file or text that was read.
    reason : str
        What is wrong, naming the field (for example ``$.listen.port``).
    """

    def __init__(self, source: str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class ConfigError(TurmerictrayError):
    """A configuration text was rejected; nothing in force changes.

    Parameters
    ----------
    reason : str
        What is wrong, naming the field.
    version : int or None
        The version the rejected text claimed, when it could be read.
    """

    def __init__(self, reason: str, version: int | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.version = version


class AdmissionError(TurmerictrayError):
    """A request was refused before any byte of it was sent to a target.

    The caller may safely send it again after ``retry_after`` seconds: it was not run.

    Parameters
    ----------
    reason : str
        A short machine-readable cause (``queue_full``, ``queue_timeout``, ``draining``...).
    retry_after : float
        Seconds after which the caller should come back.
    """

    status = 503
    cut_short = True
    """A caller that will not wait for ``retry_after`` is told the longest time that it will."""

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class QueueFull(AdmissionError):
    """The team's queue on this router is at its limit."""

    status = 429


class BacklogFull(AdmissionError):
    """More of the team's requests wait at this router than can be served in time."""


class WontBeServed(AdmissionError):
    """By the present pace the request's turn would come too late to be of use."""


class RepeatsUsedUp(AdmissionError):
    """The fleet's budget of repeats leaves none for this request."""


class TargetBusy(AdmissionError):
    """The targets that were tried did not run the request."""


class QueueTimeout(AdmissionError):
    """The request waited in the queue until its deadline and was given up."""


class RouterFull(AdmissionError):
    """The router has as many requests in hand as it may; another router may have room."""


class Quarantined(AdmissionError):
    """The request has ended the targets that ran it, and is sent to no other."""

    cut_short = False


class Draining(AdmissionError):
    """The router is shutting down and takes no new requests."""


class Starting(AdmissionError):
    """The router has not yet caught up with its peers' configuration."""


class NoTarget(AdmissionError):
    """No live target serves the requested service."""


class NoConfig(AdmissionError):
    """The router has not yet read any configuration."""


class ClaimUnavailable(AdmissionError):
    """Too few routers could vouch that no other copy of a non-idempotent request ran."""


class DuplicateOrder(TurmerictrayError):
    """Another copy of a non-idempotent request was taken; this copy was not run."""


class CallerError(TurmerictrayError):
    """The caller's request is malformed or names an unknown team or service.

    Parameters
    ----------
    reason : str
        What is wrong with the request.
    status : int
        HTTP status to answer with.
    """

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class CallerGone(TurmerictrayError):
    """The caller closed its connection; nobody reads an answer any more."""


class UpstreamError(TurmerictrayError):
    """A call to a target failed."""


class NotSent(UpstreamError):
    """The call failed before any byte reached the target; it was not run."""


class OutcomeUnknown(UpstreamError):
    """The call failed after bytes may have reached the target; it may have run.

    Parameters
    ----------
    reason : str
        What broke.
    retry_after : float or None
        Seconds after which an idempotent call may be repeated; None for a non-idempotent one,
        whose caller must first find out whether it ran.
    """

    def __init__(self, reason: str, retry_after: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class ConnectionBroken(OutcomeUnknown):
    """The target's side of the connection ended before the answer did."""


class TimedOut(UpstreamError):
    """The route's or the caller's time is over; the request may have run."""


class TargetFailed(UpstreamError):
    """A target ran the request and answered with a failure.

    Parameters
    ----------
    head : AnswerHead
        Status and headers of its answer.
    body : bytes
    """

    def __init__(self, head, body: bytes) -> None:
        super().__init__(f"target answered {head.status}")
        self.head = head
        self.body = body


class UpstreamRefused(UpstreamError):
    """The target answered with an error status before doing any work.

    Parameters
    ----------
    status : int
        The target's HTTP status.
    body : bytes
        The target's answer.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"target answered {status}")
        self.status = status
        self.body = body


class EngineError(TurmerictrayError):
    """An engine's order interface could not be reached or gave no sense."""


class StaleFence(EngineError):
    """The engine refused an order whose fencing number is lower than one it has seen."""


class PeerError(TurmerictrayError):
    """The peer link could not be set up or a peer message could not be decoded."""


class StoreError(TurmerictrayError):
    """The platform's store could not be read."""


class StoreUnavailable(StoreError):
    """The store did not answer, or turned the call away."""


class HistoryGone(StoreError):
    """The store has dropped the changes since the revision that was asked for."""
