"""Messages between routers about claims, as msgpack over pynng request/reply sockets."""

import msgspec

from turmerictray.core.ids import NodeId
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.vote import Vote


class Take(msgspec.Struct, frozen=True, tag="take", array_like=True):
    """Claim a key."""

    key: ClaimKey
    holder: str


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """Give a claimed key back: its request was not run."""

    key: ClaimKey
    holder: str


class Sync(msgspec.Struct, frozen=True, tag="sync", array_like=True):
    """Ask for the claims whose homes include ``node``."""

    node: NodeId


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One remembered claim; ``age_s`` is its age in seconds, as clocks differ."""

    key: ClaimKey
    holder: str
    age_s: float


class Voted(msgspec.Struct, frozen=True, tag="voted", array_like=True):
    """Answer to :class:`Take` and :class:`Release`."""

    vote: Vote


class Records(msgspec.Struct, frozen=True, tag="records", array_like=True):
    """Answer to :class:`Sync`."""

    source: NodeId
    records: list[ClaimRecord]


HomeRequest = Take | Release | Sync
HomeAnswer = Voted | Records

REQUEST_DECODER = msgspec.msgpack.Decoder(HomeRequest)
ANSWER_DECODER = msgspec.msgpack.Decoder(HomeAnswer)
ENCODER = msgspec.msgpack.Encoder()
