"""Digest that identifies a request when the caller sends it again under another id."""

from hashlib import blake2b

from turmerictray.core.ids import RequestDigest

_BYTES = 12
_CONTEXT = b"request-digest"


def request_digest(
    method: str, host: str, target: str, credential: str | None, body: bytes
) -> RequestDigest:
    """Compute the digest of the parts of a request that don't change when it is sent again.

    The digest is keyed by the caller's credential. Neither the credential nor the body can be
    recovered from it without knowing the other, so it may be written to logs and messages.

    Parameters
    ----------
    method : str
        HTTP method.
    host : str
        Value of the ``Host`` header.
    target : str
        Path and query as the caller sent them.
    credential : str or None
        API key presented by the caller.
    body : bytes
        Request body.
    """
    key = blake2b((credential or "").encode(), person=_CONTEXT).digest()
    digest = blake2b(digest_size=_BYTES, key=key, person=_CONTEXT)
    for part in (method.encode(), host.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return RequestDigest(digest.hexdigest())
