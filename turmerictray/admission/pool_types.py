"""What a pool keeps of a request, and what it tells of its dispatches and its state."""

import math
from dataclasses import dataclass
from enum import Enum

from turmerictray.core.ids import NodeId, SoftwareVersion, ZoneId
from turmerictray.crashes.fingerprint import Fingerprint
from turmerictray.fairness.queue import PendingRequest
from turmerictray.routing.load import TargetLoad
from turmerictray.routing.place import Placement
from turmerictray.routing.prompt import Prompt


class Outcome(Enum):
    """How a send to a target ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_REACHED = "not_reached"
    CALLER_GONE = "caller_gone"
    OUT_OF_TIME = "out_of_time"
    TARGET_ENDED = "target_ended"


@dataclass
class PlacementContext:
    """Requirements and placement state of a pending request.

    Attributes
    ----------
    call_id : int
        Identifies the send to a target.
    prompt : Prompt or None
        None for plain services.
    exclude : frozenset of str
        Targets that the request was already sent to.
    origin : NodeId
        Router that sends the request; empty for this router.
    zone : ZoneId or None
        Availability zone of that router; None for the zone of the pool.
    fingerprint : Fingerprint
        Features by which crashes of targets are attributed to the request.
    isolated : bool
        Whether targets on which a suspect has just started were avoided in the last placement
        attempt; see :mod:`turmerictray.crashes.quarantine`.
    answer_deadline : float
        Deadline of the final answer, in monotonic seconds.
    urgency_s : float
        Seconds that the request could wait when it was queued, rounded.
    reading_tokens : int
        Least number of tokens that an engine has to read (prefill) for it, as known when it was
        queued.
    reserved_target : TargetLoad or None
        Target that the request waits for.
    last_reserved_target : TargetLoad or None
        Target that the request waited for last, even if it no longer waits.
    last_attempt_at : float
        Monotonic seconds of the last placement attempt.
    had_targets : bool
        Whether any target could be considered in the last placement attempt.
    home_zones : frozenset of ZoneId or None
    version : SoftwareVersion or None
    own_path, is_test : bool
        See :class:`~turmerictray.scheduling.broker_messages.Ask`.
    avoids_trials : bool
        The request is placed on a target that may be full only if no other can serve it in time.
    urgent_from : float
        Monotonic seconds from which the request waits for no silent engine, and may be a trial.
    charged_at : float or None
        When the request was charged to the retry budget; None if it isn't.
    """

    call_id: int
    prompt: Prompt | None
    exclude: frozenset[str] = frozenset()
    origin: NodeId = NodeId("")
    zone: ZoneId | None = None
    fingerprint: Fingerprint = Fingerprint()
    isolated: bool = False
    answer_deadline: float = math.inf
    urgency_s: float = 0.0
    reading_tokens: int = 0
    reserved_target: TargetLoad | None = None
    last_reserved_target: TargetLoad | None = None
    last_attempt_at: float = -math.inf
    had_targets: bool = True
    home_zones: frozenset[ZoneId] | None = None
    version: SoftwareVersion | None = None
    own_path: bool = False
    is_test: bool = False
    avoids_trials: bool = False
    urgent_from: float = math.inf
    charged_at: float | None = None


@dataclass(frozen=True)
class Dispatch:
    """A request taken from the queue, with the target to which it is to be sent now."""

    pending: PendingRequest
    placement: Placement


class PlacementFailed(Exception):
    """The placement or dispatch of a pending request failed unexpectedly; it was removed."""

    def __init__(self, pending: PendingRequest) -> None:
        super().__init__(f"placement of {pending.req_id}")
        self.pending = pending


@dataclass(frozen=True)
class PoolState:
    """Load and progress of a pool, for operators.

    Attributes
    ----------
    waiting : int
        Number of pending requests.
    pace_per_s : float
        Measured throughput, from which waiting times are estimated, as work per second in the unit
        of :func:`~turmerictray.admission.team_dispatch_order.request_work`.
    ready, idle : int
        Targets that accept requests, and those of them that have nothing to read.
    sent : float
        Total work dispatched.
    refused : int
        Total requests refused because they would have been dispatched too late.
    """

    waiting: int
    pace_per_s: float
    ready: int
    idle: int
    sent: float
    refused: int
