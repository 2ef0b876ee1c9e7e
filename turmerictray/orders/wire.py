"""Wire messages about claims, encoded as msgpack and sent over pynng request/reply sockets."""

import msgspec

from turmerictray.core.decoding import MessageDecoder
from turmerictray.core.ids import NodeId
from turmerictray.orders.keys import ClaimKey
from turmerictray.orders.vote import Vote


class Take(msgspec.Struct, frozen=True, tag="take", array_like=True):
    """Request to claim a key."""

    key: ClaimKey
    holder: str


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """Request to release a claim whose request was not run."""

    key: ClaimKey
    holder: str


class Sync(msgspec.Struct, frozen=True, tag="sync", array_like=True):
    """Request for the claims of which ``node`` is a replica."""

    node: NodeId


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One stored claim, with its age in seconds because the routers' clocks differ."""

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


ReplicaRequest = Take | Release | Sync
ReplicaAnswer = Voted | Records

REQUEST_DECODER = MessageDecoder(ReplicaRequest)
ANSWER_DECODER = MessageDecoder(ReplicaAnswer)
ENCODER = msgspec.msgpack.Encoder()
