"""What an engine is believed to keep."""

from turmerictray.routing.kept import KeptParts
from turmerictray.routing.prompt import Part, PartId, Prompt


def parts(*names: str) -> list[Part]:
    return [Part(PartId(name), 100) for name in names]


def prompt(*names: str) -> Prompt:
    return Prompt(tuple([*parts(*names), Part(PartId("own"), 10)]), 100 * len(names) + 10, 5)


def test_what_was_kept_before_comes_behind_what_is_known():
    kept = KeptParts(400)
    kept.note_parts(parts("c", "d"))
    kept.note_older(parts("a", "b", "c"))
    assert [part.part_id for part in kept.parts()] == ["a", "b", "c", "d"]
    kept.note_parts(parts("e"))
    assert kept.kept_tokens(prompt("a")) == 0
    assert kept.kept_tokens(prompt("b")) == 100


def test_older_parts_without_room_are_left_out_oldest_first():
    kept = KeptParts(300)
    kept.note_parts(parts("d"))
    kept.note_older(parts("a", "b", "c"))
    assert [part.part_id for part in kept.parts()] == ["b", "c", "d"]
