"""What requests have in common that crash targets."""

from dataclasses import dataclass
from typing import NamedTuple

from turmerictray.core.ids import RequestDigest, ServiceName, TeamId
from turmerictray.routing.prompt import PartId, Prompt


class ServicePart(NamedTuple):
    """A shared part of prompts, at the service whose targets run them."""

    service: ServiceName
    part: PartId

    def __str__(self) -> str:
        return f"{self.service}/{self.part}"


@dataclass(frozen=True)
class Fingerprint:
    """Features of a request by which crashes are attributed.

    Attributes
    ----------
    digest : RequestDigest
        See :mod:`turmerictray.crashes.digest`; empty if unknown.
    team : TeamId
    parts : tuple of ServicePart
        Distinct shared parts of the prompt. The last part of a prompt is its own, and the digest
        covers it.
    """

    digest: RequestDigest = RequestDigest("")
    team: TeamId = TeamId("")
    parts: tuple[ServicePart, ...] = ()


def shared_parts(service: ServiceName, prompt: Prompt | None) -> tuple[ServicePart, ...]:
    """Return the distinct shared parts of a prompt; none for a request without a prompt."""
    if prompt is None:
        return ()
    return tuple(dict.fromkeys(ServicePart(service, part.part_id) for part in prompt.shared))


@dataclass(frozen=True)
class CrashVerdict:
    """What the end of an attempt tells about a request.

    Attributes
    ----------
    crashed : bool
        Whether the target crashed when it started the request; otherwise it answered, which proves
        the parts of the fingerprint sound.
    fingerprint : Fingerprint
    isolated : bool
        Whether no other suspect had just started on the crashed target.
    """

    crashed: bool
    fingerprint: Fingerprint
    isolated: bool = False
