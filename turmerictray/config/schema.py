"""Schema of the configuration that operators write and the platform publishes.

The configuration is JSON; :func:`turmerictray.config.load.parse_config` decodes it into these types
and validates what the schema cannot express (unique names, dependencies that exist).
"""

from enum import Enum
from typing import Annotated

import msgspec

from turmerictray.core.decoding import MAX_INT64

_MAX_NUMBER = 10**15
"""Upper limit on the numbers of a configuration, so that no computation overflows."""

Positive = Annotated[float, msgspec.Meta(ge=1 / _MAX_NUMBER, le=_MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_NUMBER)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9_.:-]+\Z")]


class ServiceKind(Enum):
    """Kind of a service: a pool of model engines or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class PartitionPolicy(Enum):
    """What to do with a non-idempotent request if the claim replicas of its key are unreachable.

    ``refuse`` preserves at-most-once execution: the request is refused without being run. ``serve``
    runs it, although a copy sent through a router on the other side of a network partition may run
    too.
    """

    REFUSE = "refuse"
    SERVE = "serve"


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One backend instance of a service.

    Attributes
    ----------
    id : str
        Unique in the configuration.
    url : str
        Base URL, for example ``http://127.0.0.1:9101``.
    zone : str
        Availability zone of the target.
    slots : int
        Requests that the target serves concurrently (its batch size).
    fencing : bool
        Whether the target refuses model orders with an outdated fencing number.
    models : list of str
        For an engine, the models, adapters and versions that the routers order it to load; if
        empty, the routers send it no model orders.
    """

    id: Name
    url: Annotated[str, msgspec.Meta(pattern=r"^https?://[!-~]+\Z")]
    zone: Name
    slots: Count = 4
    fencing: bool = False
    models: list[Name] = msgspec.field(default_factory=list)


class Service(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A service of the deployment and its dependencies.

    Attributes
    ----------
    name : str
        Unique service name; a plain service is reached at ``/svc/<name>/...``.
    kind : ServiceKind
        ``model`` or ``plain``.
    targets : list of Target
        Its backend instances.
    depends_on : list of str
        Names of the services that this one calls.
    models : list of str
        For a model pool, the names of the models that it serves.
    idempotent : bool
        Whether calls of the service may be run more than once.
    non_idempotent_paths : list of str
        Paths of a plain service whose calls run at most once, regardless of ``idempotent``.
    when_cut : PartitionPolicy
        For non-idempotent requests while routers cannot reach each other.
    """

    name: Name
    kind: ServiceKind
    targets: list[Target]
    depends_on: list[Name] = msgspec.field(default_factory=list)
    models: list[Name] = msgspec.field(default_factory=list)
    idempotent: bool = True
    non_idempotent_paths: list[str] = msgspec.field(default_factory=list)
    when_cut: PartitionPolicy = PartitionPolicy.REFUSE


class Team(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team that shares the capacity of the services.

    Attributes
    ----------
    id : str
        Team name, sent by callers in the ``X-Team`` header.
    weight : float
        Its share relative to other teams; usage is divided by the weight before it is compared.
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
        How long the routers store the key of a non-idempotent request; a caller must not
        send the same key again after this time.
    catch_up_tokens : float
        Upper bound on the usage, in tokens per unit of weight, by which a waiting team may lag
        behind another one and still be compensated, for example after a partition heals.
    max_header_bytes, max_body_bytes : int
        Maximum size of the head and of the body of a caller's request.
    header_timeout_s : float
        Timeout for receiving the head of a request.
    idle_timeout_s : float
        How long an idle connection of a caller is kept open. Longer than the usual timeout of
        callers and load balancers: if the router closed the connection first, their next request
        would be sent on a closed connection.
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
    """A complete configuration.

    Attributes
    ----------
    version : int
        Increases with every accepted change; a router never returns to a lower version.
    services : list of Service
    teams : list of Team
    limits : Limits
    default_team : str or None
        Team of callers that do not name one; if None, such callers are refused.
    """

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_INT64)]
    services: list[Service]
    teams: list[Team]
    limits: Limits = msgspec.field(default_factory=Limits)
    default_team: Name | None = None

    def service(self, name: str) -> Service | None:
        """Find the service called ``name``, or None."""
        return next((svc for svc in self.services if svc.name == name), None)

    def model_service(self, model: str | None) -> Service | None:
        """Find the model pool that serves ``model``.

        Falls back to the first pool if ``model`` is None or if no pool lists any models.
        """
        pools = [svc for svc in self.services if svc.kind is ServiceKind.MODEL]
        for svc in pools:
            if model in svc.models:
                return svc
        return pools[0] if pools and (model is None or not any(p.models for p in pools)) else None
