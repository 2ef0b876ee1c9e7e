"""The platform's request and response headers, as a dialect of the router."""

import math
import time

from turmerictray.core.errors import CallerError
from turmerictray.core.ids import RequestId, TeamId
from turmerictray.router.dialect import AnswerFlags, Envelope
from turmerictray.routing.load import TargetInfo
from turmerictray.routing.prompt import PartId, Prompt, PromptPart
from turmerictray.routing.target_notices import TargetReport
from turmerictray.transport.exchange import HOP_BY_HOP, Header, RequestHead
from turmerictray.transport.retry_after import parse_retry_after_s
from turmerictray.transport.target_conn import AnswerHead

_REQUEST_ID = "X-Request-Id"
_DEADLINE_MS = "X-Deadline-Ms"
_RESUME_AFTER = "Last-Event-Id"
_RESUMES = "Resumes"
_TEAM = "X-Tenant"
_EXPECTED_INSTANCE = "X-Expect-Instance"
_NOT_EXECUTED = "X-Not-Executed"
_SIGNATURE = "X-Server-Seal"
_TOKEN_COUNT = "X-Token-Count"
_MODEL = "X-Model"
_PROMPT_PREFIX = "X-Prompt-Prefix"
_FETCH_FROM = "Kv-Fetch"
_LEAVING = "Server-Leaving"
_LEAVING_YES = "1"
_RETRY_AFTER = "Retry-After"

_ROUTER_ONLY_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        _DEADLINE_MS,
        _TEAM,
        _EXPECTED_INSTANCE,
        "X-Expect-Version",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        _FETCH_FROM,
    )
)
"""Headers to a target that only the router may set; those of a caller are dropped.

Forwarded, they would let a caller act as another team, reserve an engine's memory or continue from
the cached tokens of another request.
"""

_REQUIRED_HEADERS = frozenset(
    name.lower() for name in (_REQUEST_ID, _RESUME_AFTER, _TOKEN_COUNT, _PROMPT_PREFIX, _MODEL)
)
"""Headers without which a target would run a different request from the caller's.

A caller must not list them in ``Connection``, which would remove them on the way.
"""

_HTTP_UNAVAILABLE = 503
_HTTP_MISDIRECTED = 421
"""Status with which a process refuses a request that was meant for another instance."""
_BEARER_PREFIX = "bearer "

MAX_TOKENS = 1 << 31
"""Upper limit on a number of tokens of a prompt or a part, far above what any engine holds.

Beyond it, sums and estimates could exceed what the messages between routers can hold.
"""


class PlatformDialect:
    """Reads and writes the platform's headers; see :class:`turmerictray.router.dialect.Dialect`."""

    def read(self, head: RequestHead) -> Envelope:
        """Read the head of a caller's request.

        Raises
        ------
        CallerError
            A header is missing, repeated or invalid.
        """
        request_id = head.headers.get(_REQUEST_ID, "")
        if not request_id:
            raise CallerError(f"{_REQUEST_ID} is missing")
        if "," in request_id:
            # The values of a repeated header are joined by commas.
            raise CallerError(f"{_REQUEST_ID} is given twice")
        _check_connection_header(head.headers.get("Connection", ""))
        forwarded = [
            (name, val)
            for name, val in head.end_to_end_headers()
            if name.lower() not in _ROUTER_ONLY_HEADERS
        ]
        return Envelope(
            RequestId(request_id),
            _parse_api_key(head.headers.get("Authorization", "")),
            _parse_deadline_s(head.headers.get(_DEADLINE_MS)),
            _parse_prompt(head.headers.get(_TOKEN_COUNT), head.headers.get(_PROMPT_PREFIX)),
            forwarded,
            _parse_resumes(head.headers),
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
        """Return the headers of the request to a target."""
        headers = list(envelope.headers)
        if resume_after is not None:
            headers = [(name, val) for name, val in headers if name != _RESUME_AFTER]
            headers.append((_RESUME_AFTER, resume_after))
        headers.append((_DEADLINE_MS, str(max(1, int(left_s * 1000)))))
        headers.append(expectation_header(target))
        if team is not None:
            headers.append((_TEAM, team))
        if fetch_from:
            headers.append((_FETCH_FROM, fetch_from))
        return headers

    def read_answer(self, answer: AnswerHead, envelope: Envelope) -> AnswerFlags:
        """Read the flags in the head of a target's response."""
        echoed = answer.get(_REQUEST_ID)
        wrong_instance = is_other_instance(answer)
        not_run = wrong_instance or says_not_run(answer)
        is_genuine = answer.get(_SIGNATURE) is not None
        is_own = is_genuine and echoed in (None, envelope.request_id)
        is_own = is_own or (not_run and echoed == envelope.request_id)
        return AnswerFlags(
            not_run=not_run,
            matches_request=echoed is None or echoed == envelope.request_id,
            is_genuine=is_genuine,
            report=TargetReport(
                leaving=wrong_instance or (is_own and answer.get(_LEAVING) == _LEAVING_YES),
                rest_s=_rest_s(answer) if is_own and not_run else 0.0,
            ),
        )

    def answer_headers(self, answer: AnswerHead) -> list[Header]:
        """Return the headers of a target's response that are forwarded to the caller."""
        return [
            (name, val)
            for name, val in answer.headers
            if name.lower() not in HOP_BY_HOP and name != "Content-Length"
        ]

    def retry_after(self, seconds: float) -> Header:
        """Return the header with the time after which to retry; callers accept fractions."""
        return ("Retry-After", f"{seconds:.2f}")


def expectation_header(target: TargetInfo) -> Header:
    """Return the header that makes any process but ``target`` refuse a request."""
    return (_EXPECTED_INSTANCE, target.instance_name)


def is_other_instance(answer: AnswerHead) -> bool:
    """Return whether a process says that it is not the expected one."""
    return answer.status == _HTTP_MISDIRECTED


def says_not_run(answer: AnswerHead) -> bool:
    """Return whether a target states that it has not run a request; no gateway does."""
    return answer.get(_NOT_EXECUTED) is not None


def _rest_s(answer: AnswerHead) -> float:
    """Return for how many seconds a target that refuses a request wants no others; 0 if unsaid."""
    if answer.status != _HTTP_UNAVAILABLE:
        return 0.0
    return parse_retry_after_s(answer.get(_RETRY_AFTER), time.time())


def _check_connection_header(connection: str) -> None:
    """Check that ``Connection`` lists no header that the target requires."""
    for name in connection.split(","):
        if name.strip().lower() in _REQUIRED_HEADERS:
            raise CallerError(f"Connection names {name.strip()}")


def _parse_api_key(authorization: str) -> str | None:
    if authorization[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return None
    return authorization[len(_BEARER_PREFIX) :].strip()


def _parse_resumes(headers: dict[str, str]) -> RequestId | None:
    if not headers.get(_RESUME_AFTER):
        return None
    resumes = headers.get(_RESUMES, "")
    if "," in resumes:
        raise CallerError(f"{_RESUMES} is given twice")
    return RequestId(resumes)


def _parse_deadline_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise CallerError(f"{_DEADLINE_MS} is not a number") from None
    if not (math.isfinite(milliseconds) and milliseconds >= 0):
        raise CallerError(f"{_DEADLINE_MS} is not a time")
    return milliseconds / 1000


def to_part_id(text: str) -> PartId:
    """Return the id of a prompt part, a hexadecimal number, in one of its spellings."""
    return PartId(text.strip().lower().lstrip("0") or "0")


def _parse_prompt(count: str | None, parts: str | None) -> Prompt | None:
    """Return the prompt of a request to a model, or None for other requests."""
    if count is None:
        return None
    try:
        input_tokens, _, output_tokens = count.partition(",")
        items = [item.strip().rpartition(":") for item in (parts or "").split(",") if item.strip()]
        prompt_parts = tuple(
            PromptPart(to_part_id(name), _parse_tokens(tokens)) for name, _, tokens in items
        )
        return Prompt(
            prompt_parts, _parse_tokens(input_tokens), _parse_tokens(output_tokens or "0")
        )
    except ValueError:
        raise CallerError(f"{_TOKEN_COUNT} or {_PROMPT_PREFIX} can't be read") from None


def _parse_tokens(text: str) -> int:
    """Return a number of tokens; raise :class:`ValueError` if it is not one."""
    tokens = int(text)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"{tokens} is not a number of tokens")
    return tokens
