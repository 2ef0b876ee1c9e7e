"""Claim keys: digests that identify non-idempotent requests between routers."""

import hashlib
from typing import NewType

from turmerictray.core.ids import RequestId, ServiceName, TeamId

ClaimKey = NewType("ClaimKey", bytes)
"""Digest of team, service and the caller's idempotency key; 12 bytes on the wire."""

_DIGEST_BYTES = 12


def claim_key(team: TeamId, service: ServiceName, req_id: RequestId) -> ClaimKey:
    """Compute the claim key of a request.

    Parameters
    ----------
    team : TeamId
        Part of the key, so that equal idempotency keys of two teams do not collide.
    service : ServiceName
    req_id : RequestId
        The caller's ``Idempotency-Key``, or the request id.

    Returns
    -------
    ClaimKey
    """
    text = "\x00".join((team, service, req_id)).encode()
    return ClaimKey(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
