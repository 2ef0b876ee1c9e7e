"""Choice of the router that sends an engine its orders.

Only one router sends orders to an engine, so that a change does not cause as many model loads per
engine from a rate-limited weight store as there are routers. The routers do not coordinate: each
ranks the routers from which it receives heartbeats, and during a network partition or a membership
change two may consider themselves responsible for the same engine. That is harmless, since an order
contains the complete desired state and the configuration's version.
"""

import hashlib

from turmerictray.core.ids import NodeId
from turmerictray.core.member import Member


def responsible_router(target: str, zone: str, live: list[Member]) -> NodeId:
    """Return the router that sends ``target`` its orders.

    Parameters
    ----------
    target, zone : str
        Engine and its availability zone.
    live : list of Member
        Routers with a recent heartbeat, including this one; not empty.

    Returns
    -------
    NodeId
        Highest-ranked router of the engine's zone, or of all zones if it has none.
    """
    candidates = [member for member in live if member.zone == zone] or live
    return max(candidates, key=lambda member: _rank(target, member.node)).node


def _rank(target: str, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{target}|{node}".encode(), digest_size=8).digest()
