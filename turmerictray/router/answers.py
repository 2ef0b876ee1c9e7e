"""HTTP error answers of the router, one function per kind of error."""

from functools import singledispatch

import msgspec

from turmerictray.core.errors import (
    AdmissionError,
    CallerError,
    DuplicateOrder,
    NotSent,
    OutcomeUnknown,
    TimedOut,
    TurmerictrayError,
)


class ErrorAnswer(msgspec.Struct, frozen=True):
    """HTTP status, headers and JSON body of an error answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def _json(kind: str, message: str) -> bytes:
    return msgspec.json.encode({"error": {"type": kind, "message": message}})


def _retry_after(seconds: float) -> tuple[str, str]:
    return ("Retry-After", str(max(1, round(seconds))))


@singledispatch
def error_answer(exc: TurmerictrayError) -> ErrorAnswer:
    """Convert an error into the caller's final answer.

    Parameters
    ----------
    exc : TurmerictrayError

    Returns
    -------
    ErrorAnswer
        ``not_run`` answers carry ``Retry-After``. ``outcome_unknown`` carries it only for an
        idempotent request; a non-idempotent one may have run, so its caller must check before a
        retry.
    """
    return ErrorAnswer(500, [], _json("internal", str(exc)))


@error_answer.register
def _(exc: AdmissionError) -> ErrorAnswer:
    return ErrorAnswer(exc.status, [_retry_after(exc.retry_after)], _json("not_run", exc.reason))


@error_answer.register
def _(exc: DuplicateOrder) -> ErrorAnswer:
    return ErrorAnswer(409, [], _json("duplicate", str(exc)))


@error_answer.register
def _(exc: NotSent) -> ErrorAnswer:
    return ErrorAnswer(503, [_retry_after(1)], _json("not_run", str(exc)))


@error_answer.register
def _(exc: OutcomeUnknown) -> ErrorAnswer:
    headers = [] if exc.retry_after is None else [_retry_after(exc.retry_after)]
    return ErrorAnswer(502, headers, _json("outcome_unknown", str(exc)))


@error_answer.register
def _(exc: TimedOut) -> ErrorAnswer:
    return ErrorAnswer(504, [], _json("outcome_unknown", str(exc)))


@error_answer.register
def _(exc: CallerError) -> ErrorAnswer:
    return ErrorAnswer(exc.status, [], _json("bad_request", exc.reason))
