"""Choice of a target: free slots first, then prefix affinity, then least load.

Rendezvous hashing of a request's prefix key ranks the targets in the same order on every router, so
that requests sharing a prompt prefix reach the engine whose prefix cache holds it, without
coordination between routers. Affinity is ignored when the preferred target has no free slot, or
when its load report shows it full while another target has idle slots, so that no engine stays idle
while requests wait. Targets that recently could not be reached are chosen last.
"""

import hashlib

from turmerictray.routing.target import TargetState, TargetView


def _rank(prefix_key: str, target_id: str) -> int:
    digest = hashlib.blake2b(f"{prefix_key}|{target_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _eligible_targets(targets: list[TargetView], exclude: frozenset[str]) -> list[TargetView]:
    # Progressively weaker filters: waiting for a target that never recovers would hold the request
    # until its queue timeout although another target has a free slot.
    live = [tgt for tgt in targets if tgt.state is TargetState.LIVE and tgt.rest_until is None]
    trusted = [tgt for tgt in live if tgt.suspect_until is None]
    untried = [tgt for tgt in live if tgt.id not in exclude]
    trusted_untried = [tgt for tgt in trusted if tgt.id not in exclude]
    if exclude:
        # When two engines are down and their avoidance periods have expired, a request that failed
        # on one of them would spend its last attempt on the other and be refused although a third
        # engine is idle.
        trusted_untried = [tgt for tgt in trusted_untried if not tgt.failures] or trusted_untried
    return trusted_untried or trusted or untried or live


def choose_target(
    targets: list[TargetView], prefix_key: str | None, exclude: frozenset[str] = frozenset()
) -> TargetView | None:
    """Pick a live target with a free slot.

    Parameters
    ----------
    targets : list of TargetView
        The service's targets.
    prefix_key : str or None
        Key of the request's prompt prefix; None for no affinity.
    exclude : frozenset of str
        Target ids to avoid while any other target is live: those on which earlier attempts of this
        request failed.

    Returns
    -------
    TargetView or None
        None when no live target has a free slot.
    """
    with_free_slots = [tgt for tgt in _eligible_targets(targets, exclude) if tgt.free_slots() > 0]
    if not with_free_slots:
        return None
    if prefix_key is not None:
        # A target whose report shows it full would queue the request, while an idle one starts it
        # at once. The report is delayed, but by far less than the duration of a queue of complete
        # answers.
        return max(
            with_free_slots,
            key=lambda tgt: (tgt.reported_idle_slots() > 0, _rank(prefix_key, tgt.id)),
        )
    return max(with_free_slots, key=lambda tgt: (tgt.free_slots(), -tgt.dispatched))
