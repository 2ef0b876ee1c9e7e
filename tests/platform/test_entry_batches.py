"""Changes of entries that one answer of the store brings, as the broker applies them."""

import json
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from tests.platform.test_entries import GOOD
from turmerictray.core.ids import NodeId, ZoneId
from turmerictray.platform.entries import TargetEntries
from turmerictray.platform.store import Item
from turmerictray.router.active_config import ActiveConfig, RetryLimits
from turmerictray.router.published import StorePosition
from turmerictray.routing.load import TargetPhase
from turmerictray.scheduling.broker import Broker
from turmerictray.scheduling.broker_messages import TargetsChanged, TargetsListed

_WRITTEN = st.fixed_dictionaries(
    {"state": st.sampled_from(["ready", "draining"]), "born": st.sampled_from([1000, 2000])}
)
_CHANGES = st.lists(
    st.tuples(st.sampled_from(["i-1", "i-2"]), _WRITTEN | st.none()), min_size=1, max_size=12
)
"""Names, and what is written; None for a removal."""


def _items(changes: Iterable[tuple[str, dict | None]]) -> list[Item]:
    return [
        Item(
            f"servers/{name}",
            None if written is None else json.dumps(GOOD | written).encode(),
            StorePosition(0, revision),
        )
        for revision, (name, written) in enumerate(changes, 1)
    ]


def _phases_after(answers: Iterable[list[Item]]) -> dict[str, TargetPhase]:
    """Return the phases of a broker's targets after answers of the store."""
    broker = Broker(NodeId("n"), ZoneId("z"), 1, ActiveConfig(), RetryLimits(0.2, 50, 10))
    broker.handle(TargetsListed([]))
    entries = TargetEntries()
    for items in answers:
        broker.handle(TargetsChanged(entries.apply_changes(items, 1.0, 0.0)))
    return {
        load.info.id: load.info.phase
        for pool in broker.pools.all_unsharded()
        for load in pool.targets.loads.values()
    }


@given(_CHANGES)
def test_changes_in_one_answer_end_as_in_several(changes):
    """Guards against a target that stays ready for good, as its removal came with its entry."""
    items = _items(changes)
    assert _phases_after([items]) == _phases_after([item] for item in items)


def test_a_target_that_is_written_and_removed_in_one_answer_is_gone():
    assert _phases_after([_items([("i-1", {}), ("i-1", None)])]) == {}


def test_a_target_that_is_removed_and_written_in_one_answer_is_ready():
    written = ("i-1", {"born": 1000})
    answers = [_items([written]), _items([written, ("i-1", None), written])]
    assert _phases_after(answers) == {"i-1@1000": TargetPhase.READY}


def test_an_incarnation_that_follows_another_in_one_answer_is_ready():
    changes = [("i-1", {"born": 1000}), ("i-1", None), ("i-1", {"born": 2000})]
    assert _phases_after([_items(changes)]) == {"i-1@2000": TargetPhase.READY}
