"""Exception hierarchy.

Every layer raises its own subclasses of :class:`TurmerictrayError` and translates the errors of the
layer below, so that its users handle only the errors of that layer.
"""


class TurmerictrayError(Exception):
    """Base class of all errors raised by turmerictray."""


class SettingsError(TurmerictrayError):
    """The settings of a router or stand-in are invalid.

    Parameters
    ----------
    source : str
        The file that was read, or another description of the source.
    reason : str
        What is wrong, with the JSON path of the field (for example ``$.listen.port``).
    """

    def __init__(self, source: str, reason: str) -> None:
        super().__init__(f"{source}: {reason}")
        self.source = source
        self.reason = reason


class ConfigError(TurmerictrayError):
    """A configuration was rejected; the active configuration does not change.

    Parameters
    ----------
    reason : str
        What is wrong, with the JSON path of the field.
    version : int or None
        The version of the rejected configuration, if it could be read.
    """

    def __init__(self, reason: str, version: int | None = None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.version = version


class AdmissionError(TurmerictrayError):
    """A request was refused before any byte of it was sent to a target.

    The request was not run, so the caller can safely retry it after ``retry_after`` seconds.

    Parameters
    ----------
    reason : str
        A short machine-readable cause (``queue_full``, ``queue_timeout``, ``draining``...).
    retry_after : float
        Seconds after which the caller should retry.
    """

    status = 503
    caps_retry_after = True
    """Whether the announced retry delay is capped so that the caller can still retry in time."""

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class QueueFull(AdmissionError):
    """The team's queue on this router is at its limit."""

    status = 429


class BacklogFull(AdmissionError):
    """More requests of the team are pending on this router than can be served in time."""


class WontBeServed(AdmissionError):
    """At the current throughput the request would be dispatched too late to be useful."""


class RepeatsUsedUp(AdmissionError):
    """The retry budget of the fleet is exhausted."""


class TargetBusy(AdmissionError):
    """None of the attempted targets ran the request."""


class QueueTimeout(AdmissionError):
    """The request was still queued when its deadline expired."""


class RouterFull(AdmissionError):
    """The router is at its limit of concurrent requests; another router may have capacity."""


class Quarantined(AdmissionError):
    """The targets that ran the request have crashed, and it is not sent to another one."""

    caps_retry_after = False


class TooLarge(AdmissionError):
    """The request is larger than the memory of any engine of its service."""

    caps_retry_after = False


class Draining(AdmissionError):
    """The router is shutting down and accepts no new requests."""


class Starting(AdmissionError):
    """The router has not yet caught up with its peers' configuration."""


class InternalFailure(AdmissionError):
    """The handling of the request failed unexpectedly before it was sent to a target."""


class NoTarget(AdmissionError):
    """No live target serves the requested service."""


class TargetsResting(AdmissionError):
    """All targets that could run the request have asked this router to rest for longer."""


class CannotResume(AdmissionError):
    """It is not known which software version began the stream that the caller takes up.

    The caller may begin it anew.
    """


class NoConfig(AdmissionError):
    """The router has not yet read any configuration."""


class ClaimUnavailable(AdmissionError):
    """Too few routers could confirm that no other copy of a non-idempotent request was run."""


class DuplicateOrder(TurmerictrayError):
    """Another copy of the non-idempotent request was accepted; this copy was not run."""


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
    """The caller closed its connection and no longer reads an answer."""


class UpstreamError(TurmerictrayError):
    """A call to a target failed."""


class NotSent(UpstreamError):
    """The call failed before any byte reached the target; it was not run."""


class OutcomeUnknown(UpstreamError):
    """The call failed after bytes may have reached the target; it may have run.

    Parameters
    ----------
    reason : str
        What failed.
    retry_after : float or None
        Seconds after which an idempotent call may be retried; None for a non-idempotent call,
        whose caller must first find out whether it was run.
    """

    def __init__(self, reason: str, retry_after: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after = retry_after


class ConnectionBroken(OutcomeUnknown):
    """The target closed the connection before its answer was complete."""


class TimedOut(UpstreamError):
    """The timeout of the route or of the caller expired; the request may have run."""


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
    rest_s : float
        Seconds for which the target wants no further requests; 0 if it does not say.
    """

    def __init__(self, status: int, body: bytes, rest_s: float = 0.0) -> None:
        super().__init__(f"target answered {status}")
        self.status = status
        self.body = body
        self.rest_s = rest_s


class EngineError(TurmerictrayError):
    """The interface for model orders of an engine is unreachable or gave an invalid answer."""


class StaleFence(EngineError):
    """The engine refused a model order whose fencing number is lower than one it has seen."""


class PeerError(TurmerictrayError):
    """The peer link could not be opened, or a peer message could not be decoded."""


class StoreError(TurmerictrayError):
    """The platform's store could not be read."""


class StoreUnavailable(StoreError):
    """The store did not answer, or it rejected the call."""


class HistoryGone(StoreError):
    """The store no longer has all changes since the requested revision."""
