"""Keys of non-idempotent requests, as routers tell them to each other."""

import hashlib
from typing import NewType

from turmerictray.core.ids import RequestId, ServiceName, TeamId

ClaimKey = NewType("ClaimKey", bytes)
"""Digest of team, service and the caller's idempotency key; 12 bytes on the wire."""

_DIGEST_BYTES = 12


def claim_key(team: TeamId, service: ServiceName, req_id: RequestId) -> ClaimKey:
    """The claim key of a request.

    Parameters
    ----------
    team : TeamId
        Two teams that happen to choose the same idempotency key do not meet.
    service : ServiceName
    req_id : RequestId
        The caller's ``Idempotency-Key`` (or request id).

    Returns
    -------
    ClaimKey
    """
    text = "\x00".join((team, service, req_id)).encode()
    return ClaimKey(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
