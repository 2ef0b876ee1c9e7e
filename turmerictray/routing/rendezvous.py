"""Rendezvous hashing (Thaler and Ravishankar, 1998): the same order of targets on every router."""

from hashlib import blake2b

_DIGEST_BYTES = 8
_RANKS = 2.0 ** (8 * _DIGEST_BYTES)


def rank(key: str, target: str) -> int:
    """The weight of ``target`` for ``key``; the highest is the key's first choice.

    It is the same on all routers without a message, and a target that comes or goes moves only the
    keys that it is, or was, the first choice of.

    A checksum such as CRC-32 won't do: it is linear, so the second choices of all keys with the
    same first choice would be one target, which then takes the whole overflow.
    """
    digest = blake2b(f"{key}\0{target}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def weighted_rank(key: str, target: str, weight: float) -> float:
    """Like :func:`rank`, from 0 to 1, where a target is first choice of ``weight`` times the keys.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): the draw to the power of one by
    the weight.
    """
    return ((rank(key, target) + 0.5) / _RANKS) ** (1.0 / weight)
