"""Which router gives an engine its orders.

One router per engine, so that a change does not send every engine as many orders as there are
routers through a rate-limited weight store. Nothing is agreed on: each router ranks those it
hears, and during a cut or a change of members two may take the same engine for theirs. That is
harmless, since an order carries the whole wanted state and the configuration's version.
"""

import hashlib

from turmerictray.core.ids import NodeId
from turmerictray.core.member import Member


def issuer_of(target: str, zone: str, live: list[Member]) -> NodeId:
    """The router that gives ``target`` its orders.

    Parameters
    ----------
    target, zone : str
        The engine and its availability zone.
    live : list of Member
        The routers heard lately, this one included; not empty.

    Returns
    -------
    NodeId
        The best-ranked router of the engine's zone, or of all where the zone has none.
    """
    near = [member for member in live if member.zone == zone] or live
    return max(near, key=lambda member: _rank(target, member.node)).node


def _rank(target: str, node: NodeId) -> bytes:
    return hashlib.blake2b(f"{target}|{node}".encode(), digest_size=8).digest()
