"""Choosing a target: free slots first, then prefix affinity, then least load.

Rendezvous hashing of a request's prefix key ranks the targets the same way on every router,
so requests that share a prompt prefix meet the same engine's prefix cache without any router
telling another. Affinity gives way when the preferred target has no free slot, or when its load
report shows it full and another's does not: an idle engine is never passed over while work waits.
Targets that could not be reached lately come last.
"""

import hashlib

from turmerictray.routing.target import TargetState, TargetView


def _rank(prefix_key: str, target_id: str) -> int:
    digest = hashlib.blake2b(f"{prefix_key}|{target_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _preferred(targets: list[TargetView], exclude: frozenset[str]) -> list[TargetView]:
    # Falling back tier by tier, since waiting for a target that never comes would hold the
    # request until the queue timeout while a slot stands idle.
    live = [tgt for tgt in targets if tgt.state is TargetState.LIVE]
    trusted = [tgt for tgt in live if tgt.suspect_until is None]
    untried = [tgt for tgt in live if tgt.id not in exclude]
    fresh = [tgt for tgt in trusted if tgt.id not in exclude]
    if exclude:
        # With two engines down whose pauses are over, a request that has tried one of them would
        # spend its last try on the other and be refused beside an idle third.
        fresh = [tgt for tgt in fresh if not tgt.failures] or fresh
    return fresh or trusted or untried or live


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
        Target ids to keep off (those a retried request already failed on) while any other
        target is live.

    Returns
    -------
    TargetView or None
        None when no live target has a free slot.
    """
    open_targets = [tgt for tgt in _preferred(targets, exclude) if tgt.free_slots() > 0]
    if not open_targets:
        return None
    if prefix_key is not None:
        # A target that its report shows full holds the request in its own queue; one that idles
        # starts it at once. The report lags, but far less than a queue of whole answers.
        return max(
            open_targets, key=lambda tgt: (tgt.idle_by_report() > 0, _rank(prefix_key, tgt.id))
        )
    return max(open_targets, key=lambda tgt: (tgt.free_slots(), -tgt.dispatched))
