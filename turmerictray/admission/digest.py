"""The digest by which a request is known again when it comes with another id."""

from hashlib import blake2b

from turmerictray.core.ids import RequestDigest

_BYTES = 12
_CONTEXT = b"request-digest"


def request_digest(
    method: str, host: str, target: str, credential: str | None, body: bytes
) -> RequestDigest:
    """Digest of what stays the same when a caller sends a request again.

    It is keyed by the caller's credential: neither that nor the body can be found out from it by
    whoever does not know the other, so it may stand in logs and messages.

    Parameters
    ----------
    target : str
        Path and query as the caller sent them.
    credential : str or None
        The key that the caller presents.
    """
    key = blake2b((credential or "").encode(), person=_CONTEXT).digest()
    digest = blake2b(digest_size=_BYTES, key=key, person=_CONTEXT)
    for part in (method.encode(), host.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return RequestDigest(digest.hexdigest())
