"""The platform's request and answer headers, as a dialect of the router."""

import math

from turmerictray.core.errors import CallerError
from turmerictray.core.ids import RequestId, TeamId
from turmerictray.router.dialect import AnswerSigns, Envelope
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.transport.exchange import HOP_BY_HOP, Header, RequestHead
from turmerictray.transport.target_conn import AnswerHead

_REQUEST_ID = "X-Request-Id"
_TIME_LEFT = "X-Deadline-Ms"
_RESUME_AFTER = "Last-Event-Id"
_TEAM = "X-Tenant"
_INSTANCE = "X-Expect-Instance"
_NOT_RUN = "X-Not-Executed"
_SIGNATURE = "X-Server-Seal"
_TOKEN_COUNT = "X-Token-Count"
_MODEL = "X-Model"
_PROMPT = "X-Prompt-Prefix"
_FETCH_FROM = "Kv-Fetch"

_SET_HERE = frozenset(
    name.lower()
    for name in (
        "Authorization",
        _TIME_LEFT,
        _TEAM,
        _INSTANCE,
        "X-Expect-Version",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        _FETCH_FROM,
    )
)
"""Headers that only the system may set for a target. Passed on as a caller sent them they would
reserve an engine's memory, or make a request go on from another one's."""

_NEEDED = frozenset(
    name.lower() for name in (_REQUEST_ID, _RESUME_AFTER, _TOKEN_COUNT, _PROMPT, _MODEL)
)
"""Headers without which a target would run another request than the caller's."""

_WRONG_INSTANCE = 421
_BEARER = "bearer "


class PlatformDialect:
    """Reads and writes the platform's headers; see :class:`turmerictray.router.dialect.Dialect`."""

    def read(self, head: RequestHead) -> Envelope:
        """Read a caller's head."""
        request_id = head.headers.get(_REQUEST_ID, "")
        if not request_id:
            raise CallerError(f"{_REQUEST_ID} is missing")
        if "," in request_id:
            # Headers that repeat are joined by commas.
            raise CallerError(f"{_REQUEST_ID} is given twice")
        _check_connection(head.headers.get("Connection", ""))
        passed = [
            (name, val) for name, val in head.end_to_end_headers() if name.lower() not in _SET_HERE
        ]
        return Envelope(
            RequestId(request_id),
            _key(head.headers.get("Authorization", "")),
            _milliseconds(head.headers.get(_TIME_LEFT)),
            _prompt(head.headers.get(_TOKEN_COUNT), head.headers.get(_PROMPT)),
            passed,
        )

    def target_headers(
        self,
        envelope: Envelope,
        target: TargetInfo,
        team: TeamId | None,
        left_s: float,
        resume_after: str | None,
        fetch_from: str,
    ) -> list[Header]:
        """The headers of the request to a target."""
        headers = list(envelope.headers)
        if resume_after is not None:
            headers = [(name, val) for name, val in headers if name != _RESUME_AFTER]
            headers.append((_RESUME_AFTER, resume_after))
        headers.append((_TIME_LEFT, str(max(1, int(left_s * 1000)))))
        headers.append((_INSTANCE, target.instance_name))
        if team is not None:
            headers.append((_TEAM, team))
        if fetch_from:
            headers.append((_FETCH_FROM, fetch_from))
        return headers

    def signs(self, answer: AnswerHead, envelope: Envelope) -> AnswerSigns:
        """Read the head of a target's answer."""
        echoed = answer.get(_REQUEST_ID)
        wrong_instance = answer.status == _WRONG_INSTANCE
        return AnswerSigns(
            not_run=wrong_instance or answer.get(_NOT_RUN) is not None,
            own=echoed is None or echoed == envelope.request_id,
            genuine=answer.get(_SIGNATURE) is not None,
            leaving=wrong_instance,
        )

    def answer_headers(self, answer: AnswerHead) -> list[Header]:
        """The headers of a target's answer that go to the caller."""
        return [
            (name, val)
            for name, val in answer.headers
            if name.lower() not in HOP_BY_HOP and name != "Content-Length"
        ]

    def retry_after(self, seconds: float) -> Header:
        """The header that tells a refused caller when to come back; fractions are understood."""
        return ("Retry-After", f"{seconds:.2f}")


def _check_connection(connection: str) -> None:
    """Check that no header which the target needs is named as one of this connection only."""
    for name in connection.split(","):
        if name.strip().lower() in _NEEDED:
            raise CallerError(f"Connection names {name.strip()}")


def _key(authorization: str) -> str | None:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return None
    return authorization[len(_BEARER) :].strip()


def _milliseconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise CallerError(f"{_TIME_LEFT} is not a number") from None
    if not (math.isfinite(milliseconds) and milliseconds >= 0):
        raise CallerError(f"{_TIME_LEFT} is not a time")
    return milliseconds / 1000


def _prompt(count: str | None, parts: str | None) -> Prompt | None:
    """The prompt of a generation, or None for other requests."""
    if count is None:
        return None
    try:
        tokens_in, _, tokens_out = count.partition(",")
        listed = [item.strip().rpartition(":") for item in (parts or "").split(",") if item.strip()]
        found = tuple(PromptPart(PartId(name), int(tokens)) for name, _, tokens in listed)
        return Prompt(found, int(tokens_in), int(tokens_out or 0))
    except ValueError:
        raise CallerError(f"{_TOKEN_COUNT} or {_PROMPT} can't be read") from None
