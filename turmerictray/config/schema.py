"""Schema of the configuration text that operators write and the platform publishes.

The text is JSON; :func:`turmerictray.config.load.parse_config` decodes it into these types and
checks what a schema cannot say (unique names, dependencies that exist).
"""

from enum import Enum
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9_.:-]+$")]


class ServiceKind(Enum):
    """What a service is: a pool of model engines or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class CutPolicy(Enum):
    """What to do with a non-idempotent request when its key's homes cannot be reached.

    ``refuse`` keeps at-most-once: the request is refused as not run. ``serve`` runs it, and a
    copy sent through a router on the other side of a cut may run too.
    """

    REFUSE = "refuse"
    SERVE = "serve"


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One back end instance of a service.

    Attributes
    ----------
    id : str
        Unique across the text.
    url : str
        Base URL, for example ``http://127.0.0.1:9101``.
    zone : str
        Availability zone the target stands in.
    slots : int
        Requests the target serves at once (its batch size).
    fencing : bool
        Whether the target refuses orders that carry an old fencing number.
    models : list of str
        For an engine, the models, adapters and versions it is ordered to have loaded; none means
        that the routers give it no orders.
    """

    id: Name
    url: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    zone: Name
    slots: Count = 4
    fencing: bool = False
    models: list[Name] = msgspec.field(default_factory=list)


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service of the deployment and what it depends on.

    Attributes
    ----------
    name : str
        Unique service name; plain services are reached at ``/svc/<name>/...``.
    kind : ServiceKind
        ``model`` or ``plain``.
    targets : list of Target
        Its back end instances.
    depends_on : list of str
        Names of services this one calls.
    models : list of str
        For a model pool, the model names it serves.
    idempotent : bool
        Whether every call of the service may be repeated.
    non_idempotent_paths : list of str
        Paths of a plain service whose calls run at most once, whatever ``idempotent`` says.
    when_cut : CutPolicy
        For non-idempotent requests while routers cannot reach each other.
    """

    name: Name
    kind: ServiceKind
    targets: list[Target]
    depends_on: list[Name] = msgspec.field(default_factory=list)
    models: list[Name] = msgspec.field(default_factory=list)
    idempotent: bool = True
    non_idempotent_paths: list[str] = msgspec.field(default_factory=list)
    when_cut: CutPolicy = CutPolicy.REFUSE


class Team(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team sharing the pool.

    Attributes
    ----------
    id : str
        Team name, sent by callers in the ``X-Team`` header.
    weight : float
        Its share relative to other teams; service is compared after dividing by weight.
    api_keys : list of str
        Bearer keys that identify the team instead of the header.
    """

    id: Name
    weight: Positive = 1.0
    api_keys: list[str] = msgspec.field(default_factory=list)


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits and timeouts, in requests and seconds.

    Attributes
    ----------
    order_memory_s : float
        How long the routers remember the key of a non-idempotent request; a caller must not
        send the same key again later than this.
    catch_up_tokens : float
        The most service, in tokens per unit of weight, that one waiting team may be owed
        against another, for example after a partition heals.
    max_header_bytes, max_body_bytes : int
        Largest head and body of a caller's request.
    header_timeout_s : float
        Longest time a request's head may take to arrive.
    idle_timeout_s : float
        How long an idle connection of a caller is kept. Longer than callers and balancers commonly
        keep theirs: if the router closed first, their next request would meet a closed connection.
    """

    queue_per_team: Count = 256
    queue_timeout_s: Seconds = 30.0
    request_timeout_s: Seconds = 120.0
    connect_timeout_s: Seconds = 1.0
    retry_after_s: Seconds = 2.0
    order_memory_s: Seconds = 300.0
    catch_up_tokens: Positive = 50_000.0
    max_retries: Annotated[int, msgspec.Meta(ge=0, le=5)] = 1
    default_cost_hint: Positive = 64.0
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4 << 20
    header_timeout_s: Seconds = 3.0
    idle_timeout_s: Seconds = 75.0


class Config(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration text.

    Attributes
    ----------
    version : int
        Increases with every accepted change; a router never goes back to a lower one.
    services : list of Service
    teams : list of Team
    limits : Limits
    default_team : str or None
        Team for callers that name none; without it such callers are refused.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    services: list[Service]
    teams: list[Team]
    limits: Limits = msgspec.field(default_factory=Limits)
    default_team: Name | None = None

    def service(self, name: str) -> Service | None:
        """The service called ``name``, or None."""
        return next((svc for svc in self.services if svc.name == name), None)

    def model_service(self, model: str | None) -> Service | None:
        """The model pool serving ``model``; the first pool when ``model`` is None or unlisted."""
        pools = [svc for svc in self.services if svc.kind is ServiceKind.MODEL]
        for svc in pools:
            if model in svc.models:
                return svc
        return pools[0] if pools and (model is None or not any(p.models for p in pools)) else None
