"""Check whether a target is the process that its entry names, by the report that it gives.

An accepted connection shows little: a relay may accept it for a process that has gone, or another
process may have the address by now.
"""

import time

import msgspec

from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import ConnectionBroken, NotSent, OutcomeUnknown
from turmerictray.crashes.exit_detection import (
    CHECK_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    Liveness,
)
from turmerictray.platform.documents import target_id
from turmerictray.platform.headers import expectation_header, is_other_instance, says_not_run
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import AnswerHead, TargetConnection, TargetRequest

_REPORT_PATH = "/api/report"
_HTTP_OK = 200

_FIRST_PAUSE_S = 0.01
"""Pause after a connection that was closed without an answer; doubled each time. A target that is
exiting soon refuses connections, one at its connection limit may accept one."""


class _Report(msgspec.Struct, frozen=True):
    # Start time of the process in Unix milliseconds, as in its entry.
    born: int | msgspec.UnsetType = msgspec.UNSET


class IdentityCheck:
    """Asks targets for their reports, on idle connections where there are any.

    A target at its limit of connections may turn a new one away.

    Parameters
    ----------
    pool : ConnectionPool
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def __call__(self, target: TargetInfo, timeout_s: float = CHECK_TIMEOUT_S) -> Liveness:
        """Return whether the target's process runs; UNKNOWN if nobody answers for it in time."""
        deadline, pause_s = time.monotonic() + timeout_s, _FIRST_PAUSE_S
        while time.monotonic() + pause_s < deadline:
            try:
                return self._ask(target, deadline)
            except ConnectionRefusedError:
                return Liveness.EXITED
            except (ConnectionError, ConnectionBroken):
                time.sleep(pause_s)
                pause_s *= 2
            except (OSError, OutcomeUnknown):
                return Liveness.UNKNOWN
        return Liveness.UNKNOWN

    def _ask(self, target: TargetInfo, deadline: float) -> Liveness:
        try:
            left_s = max(0.0, deadline - time.monotonic())
            connect_s = min(CONNECT_TIMEOUT_S, left_s)
            conn = self._pool.acquire(target.id, target.address, connect_s)
        except NotSent as exc:
            raise exc.__cause__ from None
        head = None
        try:
            head, body = _request_report(target, conn, deadline)
        finally:
            if head is None:
                conn.close()
        self._pool.release(target.id, conn, head)
        return _liveness(target, head, body)


def _request_report(
    target: TargetInfo, conn: TargetConnection, deadline: float
) -> tuple[AnswerHead, bytes]:
    left_s = max(0.0, deadline - time.monotonic())
    headers = [("Host", target.address), expectation_header(target)]
    conn.send(TargetRequest("GET", _REPORT_PATH, headers, b""), left_s)
    head = conn.read_head("GET", left_s)
    return head, conn.read_body(deadline)


def _liveness(target: TargetInfo, head: AnswerHead, body: bytes) -> Liveness:
    """Return what an answer shows; a gateway's in the place of the target's shows nothing."""
    if is_other_instance(head):
        return Liveness.EXITED
    if says_not_run(head):
        # Plain services give no report, but refuse what has no request id.
        return Liveness.RUNNING
    if head.status != _HTTP_OK:
        return Liveness.UNKNOWN
    try:
        born = decode_json(body, _Report).born
    except DecodingError:
        return Liveness.UNKNOWN
    if target.id == target_id(target.instance_name, msgspec.UNSET):
        # Its entry has no start time to compare.
        return Liveness.RUNNING
    if born is msgspec.UNSET:
        return Liveness.UNKNOWN
    is_same = target.id == target_id(target.instance_name, born)
    return Liveness.RUNNING if is_same else Liveness.EXITED
