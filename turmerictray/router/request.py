"""What the front reads from a caller's request before it is queued."""

import hashlib
import uuid
from dataclasses import dataclass

import msgspec

from turmerictray.config.schema import Config, CutPolicy, Service, ServiceKind
from turmerictray.core.errors import CallerError
from turmerictray.core.ids import RequestId, ServiceName, TeamId

_PREFIX_CHARS = 256
_CHARS_PER_TOKEN = 4


class _ModelBody(msgspec.Struct):
    model: str | None = None
    messages: list[dict] | None = None
    prompt: str | None = None
    max_tokens: int | None = None
    stream: bool = False


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request as the router needs it.

    Attributes
    ----------
    hint : float
        Rough cost in tokens: prompt length over four plus ``max_tokens``.
    idempotent : bool
        False when the caller sent ``Idempotency-Key`` or the service marks the call.
    when_cut : CutPolicy
        The service's rule for non-idempotent requests while routers are cut off.
    caller_keyed : bool
        Whether ``req_id`` came from the caller, who may then send the request again under it.
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
    when_cut: CutPolicy = CutPolicy.REFUSE
    caller_keyed: bool = False


def identify_team(cfg: Config, headers: dict[str, str]) -> TeamId:
    """The caller's team, from ``X-Team`` or a bearer key.

    Raises
    ------
    CallerError
        401 when the team is unknown and no default team is set.
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
        When the body is not a JSON object of the OpenAI-style API, or no pool serves the model.
    """
    try:
        doc = msgspec.json.decode(body, type=_ModelBody)
    except msgspec.DecodeError as exc:
        raise CallerError(f"bad request body: {exc}") from exc
    svc = cfg.model_service(doc.model)
    if svc is None:
        raise CallerError(f"no pool serves model {doc.model!r}", 404)
    text = doc.prompt or ""
    if doc.messages:
        text = " ".join(str(msg.get("content", "")) for msg in doc.messages)
    max_tokens = doc.max_tokens or int(cfg.limits.default_cost_hint)
    estimated_cost = len(text) / _CHARS_PER_TOKEN + max_tokens
    prefix = text[:_PREFIX_CHARS]
    prefix_key = hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest() if prefix else None
    return _build(cfg, svc, path, headers, body, estimated_cost, prefix_key, doc.stream)


def read_service_request(cfg: Config, path: str, headers: dict[str, str], body: bytes):
    """Build a :class:`CallerRequest` for ``/svc/<service>/<path>`` calls.

    Raises
    ------
    CallerError
        404 when the service is unknown or is a model pool.
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
    given = key or headers.get("x-request-id") or None
    req_id = given or uuid.uuid4().hex
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
        given is not None,
    )
