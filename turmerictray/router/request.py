"""Parsing of a caller's request before it is queued."""

import hashlib
import uuid
from dataclasses import dataclass
from typing import Annotated

import msgspec

from turmerictray.config.schema import Config, PartitionPolicy, Service, ServiceKind
from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import CallerError
from turmerictray.core.ids import RequestId, ServiceName, TeamId

_PREFIX_CHARS = 256
_CHARS_PER_TOKEN = 4


_MAX_TOKENS = 1 << 31
"""Upper limit on the tokens that a caller may ask for, far above what any engine holds."""


class _ModelBody(msgspec.Struct):
    model: str | None = None
    messages: list[dict] | None = None
    prompt: str | None = None
    max_tokens: Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)] | None = None
    stream: bool = False


@dataclass(frozen=True)
class CallerRequest:
    """Parsed request of a caller.

    Attributes
    ----------
    estimated_cost : float
        Estimated cost in tokens: prompt length in characters over four, plus ``max_tokens``.
    idempotent : bool
        False if the caller sent ``Idempotency-Key`` or the service declares the path, or all its
        paths, non-idempotent.
    when_cut : PartitionPolicy
        The service's policy for non-idempotent requests during a network partition.
    caller_keyed : bool
        Whether ``req_id`` came from the caller, who may then retry the request with the same id.
    upstream_path : str
        Path to call on the target.
    """

    req_id: RequestId
    team: TeamId
    service: ServiceName
    kind: ServiceKind
    body: bytes
    estimated_cost: float
    prefix_key: str | None
    idempotent: bool
    upstream_path: str
    stream: bool
    config_version: int = 0
    when_cut: PartitionPolicy = PartitionPolicy.REFUSE
    caller_keyed: bool = False


def identify_team(cfg: Config, headers: dict[str, str]) -> TeamId:
    """Return the caller's team, from ``X-Team`` or a bearer key.

    Raises
    ------
    CallerError
        401 if the team is unknown or if none is named and no default team is set.
    """
    known = {team.id for team in cfg.teams}
    name = headers.get("x-team")
    auth = headers.get("authorization", "")
    if name is None and auth.lower().startswith("bearer "):
        key = auth[7:].strip()
        name = next((t.id for t in cfg.teams if key in t.api_keys), None)
    if name is None:
        name = cfg.default_team
    if name is None or name not in known:
        raise CallerError(f"unknown team {name!r}", 401)
    return TeamId(name)


def read_model_request(cfg: Config, path: str, headers: dict[str, str], body: bytes):
    """Build a :class:`CallerRequest` for ``/v1/...`` calls.

    Raises
    ------
    CallerError
        The body is not a JSON object of the OpenAI-style API, or no pool serves the model.
    """
    try:
        doc = decode_json(body, _ModelBody)
    except DecodingError as exc:
        raise CallerError(f"bad request body: {exc}") from exc
    svc = cfg.model_service(doc.model)
    if svc is None:
        raise CallerError(f"no pool serves model {doc.model!r}", 404)
    prompt_text = doc.prompt or ""
    if doc.messages:
        prompt_text = " ".join(str(msg.get("content", "")) for msg in doc.messages)
    max_tokens = doc.max_tokens or int(cfg.limits.default_cost_hint)
    estimated_cost = len(prompt_text) / _CHARS_PER_TOKEN + max_tokens
    prefix = prompt_text[:_PREFIX_CHARS]
    prefix_key = hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest() if prefix else None
    return _build(cfg, svc, path, headers, body, estimated_cost, prefix_key, doc.stream)


def read_service_request(cfg: Config, path: str, headers: dict[str, str], body: bytes):
    """Build a :class:`CallerRequest` for ``/svc/<service>/<path>`` calls.

    Raises
    ------
    CallerError
        404 if the service is unknown or is a model pool.
    """
    _, _, rest = path.partition("/svc/")
    name, _, sub = rest.partition("/")
    svc = cfg.service(name)
    if svc is None or svc.kind is not ServiceKind.PLAIN:
        raise CallerError(f"no plain service {name!r}", 404)
    return _build(cfg, svc, "/" + sub, headers, body, 1.0, None, False)


def _build(
    cfg, svc: Service, path, headers, body, estimated_cost, prefix_key, stream
) -> CallerRequest:
    key = headers.get("idempotency-key")
    idempotent = key is None and svc.idempotent and path not in svc.non_idempotent_paths
    caller_id = key or headers.get("x-request-id") or None
    req_id = caller_id or uuid.uuid4().hex
    return CallerRequest(
        RequestId(req_id),
        identify_team(cfg, headers),
        ServiceName(svc.name),
        svc.kind,
        body,
        estimated_cost,
        prefix_key,
        idempotent,
        path,
        stream,
        cfg.version,
        svc.when_cut,
        caller_id is not None,
    )
