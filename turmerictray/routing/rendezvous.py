"""Rendezvous hashing (Thaler and Ravishankar, 1998): the same ranking of targets on every
router."""

from hashlib import blake2b

_DIGEST_BYTES = 8
_RANK_COUNT = 2.0 ** (8 * _DIGEST_BYTES)


def rank(key: str, target: str) -> int:
    """Return the weight of ``target`` for ``key``; the target with the highest is preferred.

    The ranking is the same on all routers without communication, and adding or removing a target
    moves only the keys that prefer it.

    A checksum such as CRC-32 is unsuitable: it is linear, so that all keys with the same first
    choice would share their second choice, which would then receive the whole overflow.
    """
    digest = blake2b(f"{key}\0{target}".encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def weighted_rank(key: str, target: str, weight: float) -> float:
    """Return the rank scaled to 0..1, such that a target is preferred in proportion to its weight.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): the uniform hash value is
    raised to the power ``1 / weight``.
    """
    return ((rank(key, target) + 0.5) / _RANK_COUNT) ** (1.0 / weight)
