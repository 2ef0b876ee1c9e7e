"""Check whether a target is the process that its entry names, by the report that it gives.

An accepted connection shows little: a relay may accept it for a process that has gone, or another
process may have the address by now.
"""

import time

import msgspec

from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import ConnectionBroken, NotSent, OutcomeUnknown
from turmerictray.crashes.exit_detection import (
    CONNECT_TIMEOUT_S,
    MAX_CONNECTIONS,
    RECONNECT_PAUSE_S,
    Liveness,
)
from turmerictray.platform.documents import target_id
from turmerictray.platform.headers import expectation_header, is_from_target, is_other_instance
from turmerictray.routing.load import TargetInfo
from turmerictray.transport.pool import ConnectionPool
from turmerictray.transport.target_conn import AnswerHead, TargetConnection, TargetRequest

_REPORT_PATH = "/api/report"
_ANSWER_TIMEOUT_S = 0.25
"""A report takes no slot and is given within a round trip. No report within this time, as by a
target that stands still, does not show whether it will go on."""


class _Report(msgspec.Struct, frozen=True):
    # Start time of the process in Unix milliseconds, as in its entry.
    born: int | msgspec.UnsetType = msgspec.UNSET


class IdentityCheck:
    """Asks targets for their reports, on idle connections where there are any.

    A target at its limit of connections would turn a new one away.

    Parameters
    ----------
    pool : ConnectionPool
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def __call__(self, target: TargetInfo) -> Liveness:
        """Return whether the target's process runs; UNKNOWN if nobody answers for it."""
        for _ in range(MAX_CONNECTIONS):
            try:
                conn = self._pool.acquire(target.id, target.address, CONNECT_TIMEOUT_S)
            except NotSent as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    return Liveness.EXITED
                if not isinstance(exc.__cause__, ConnectionError):
                    return Liveness.UNKNOWN
                time.sleep(RECONNECT_PAUSE_S)
                continue
            try:
                return self._ask(target, conn)
            except ConnectionBroken:
                conn.close()
                time.sleep(RECONNECT_PAUSE_S)
            except OutcomeUnknown:
                conn.close()
                return Liveness.UNKNOWN
        return Liveness.UNKNOWN

    def _ask(self, target: TargetInfo, conn: TargetConnection) -> Liveness:
        deadline = time.monotonic() + _ANSWER_TIMEOUT_S
        headers = [("Host", target.address), expectation_header(target)]
        conn.send(TargetRequest("GET", _REPORT_PATH, headers, b""), _ANSWER_TIMEOUT_S)
        head = conn.read_head("GET", _ANSWER_TIMEOUT_S)
        found = _liveness(target, head, conn.read_body(deadline))
        self._pool.release(target.id, conn, head)
        return found


def _liveness(target: TargetInfo, head: AnswerHead, body: bytes) -> Liveness:
    if is_other_instance(head):
        return Liveness.EXITED
    if not is_from_target(head):
        return Liveness.UNKNOWN
    try:
        born = decode_json(body, _Report).born
    except DecodingError:
        # Plain services give no report, but the answer is theirs.
        return Liveness.RUNNING
    is_known = born is not msgspec.UNSET
    restarted = is_known and target_id(target.instance_name, born) != target.id
    return Liveness.EXITED if restarted else Liveness.RUNNING
