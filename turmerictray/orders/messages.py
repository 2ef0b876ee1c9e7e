"""Messages between the guard, the local replica and the links to the peers' replicas."""

from dataclasses import dataclass, field

import msgspec

from turmerictray.core.reply import Reply
from turmerictray.orders.wire import Records, Release, Take


@dataclass
class AskHome:
    """Sends ``request`` to a replica.

    Attributes
    ----------
    request : Take or Release
    reply : Reply
        Receives the replica's :class:`~turmerictray.orders.vote.Vote`.
    """

    request: Take | Release
    reply: Reply = field(default_factory=Reply)


@dataclass(frozen=True)
class Synced:
    """Claims received from a peer's replica.

    Attributes
    ----------
    answer : Records
    requested_at : float
        Monotonic time at which they were requested, in seconds.
    """

    answer: Records
    requested_at: float


@dataclass(frozen=True)
class HomeQuery:
    """Requests the :class:`HomeState` of the local replica."""


class HomeState(msgspec.Struct, frozen=True):
    """State of a replica, as shown to operators.

    Attributes
    ----------
    kept : int
        Number of stored claims.
    synced : list of str
        Peers whose claims were copied since the start.
    vouching : bool
        Whether the replica grants claims on every key. It is false only for a while after its
        start, as long as claims of its previous incarnation may be missing.
    """

    kept: int
    synced: list[str]
    vouching: bool
