"""Messages between the guard, this router's own home and the links to its peers' homes."""

from dataclasses import dataclass, field

import msgspec

from turmerictray.core.reply import Reply
from turmerictray.orders.wire import Records, Release, Take


@dataclass
class AskHome:
    """Put ``question`` to a home; ``reply`` gets its :class:`~turmerictray.orders.vote.Vote`."""

    question: Take | Release
    reply: Reply = field(default_factory=Reply)


@dataclass(frozen=True)
class Synced:
    """What a peer's home remembers, asked for at monotonic time ``asked_at`` in seconds."""

    answer: Records
    asked_at: float


@dataclass(frozen=True)
class HomeQuery:
    """Ask this router's own home for its :class:`HomeState`."""


class HomeState(msgspec.Struct, frozen=True):
    """What operators see of a home.

    Attributes
    ----------
    kept : int
        Claims remembered.
    synced : list of str
        Peers whose claims were taken over since the start.
    vouching : bool
        Whether it vouches for every key: always, but for a while after its start.
    """

    kept: int
    synced: list[str]
    vouching: bool
