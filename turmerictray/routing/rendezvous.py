"""Rendezvous hashing (Thaler and Ravishankar, 1998): the same order of targets on every router."""

from collections.abc import Iterable
from hashlib import blake2b

_DIGEST_BYTES = 8


def rank(key: str, target: str) -> int:
    """The weight of ``target`` for ``key``; the highest is the key's first choice.

    A checksum such as CRC-32 won't do: it is linear, so the second choices of all keys with the
    same first choice would be one target, which then takes the whole overflow.
    """
    digest = blake2b(f"{key}\0{target}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def order(key: str, targets: Iterable[str]) -> list[str]:
    """``targets`` from the first choice of ``key`` to its last.

    The order is the same on all routers without a message, and a target that comes or goes moves
    only the keys that it is, or was, the first choice of.
    """
    return sorted(targets, key=lambda target: rank(key, target), reverse=True)
