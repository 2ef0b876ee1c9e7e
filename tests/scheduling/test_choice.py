"""Which router schedules, as each router works it out for itself."""

import pytest

from turmerictray.core.ids import NodeId, ServiceName, ZoneId
from turmerictray.membership.messages import MemberEntry
from turmerictray.scheduling.choice import SchedulerChoice

LLM = ServiceName("llm")


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def entry(number: int, beat: int = 20, zones: int = 3) -> MemberEntry:
    node, zone = f"r{number}", f"z{number % zones}"
    return MemberEntry(node, zone, f"tcp://{node}:1", 1, beat, False, f"tcp://{node}:2")


@pytest.fixture
def clock():
    return Clock()


def choice_of(number: int, members, clock) -> SchedulerChoice:
    own = entry(number)
    choice = SchedulerChoice(NodeId(own.node), ZoneId(own.zone), clock)
    choice.take_members(members)
    return choice


def name(choice: SchedulerChoice) -> str:
    found = choice.scheduler(LLM)
    return found.node if found is not None else choice.node


def test_all_routers_choose_the_same_one(clock):
    members = [entry(n) for n in range(79)]
    assert len({name(choice_of(n, members, clock)) for n in range(79)}) == 1


def test_a_router_that_has_just_started_is_not_chosen(clock):
    # Callers' prompts are read again by engines that keep them: a router that starts has the first
    # rank and takes over before it has heard what engines keep and run.
    members = [entry(n) for n in range(9)]
    first = name(choice_of(0, members, clock))
    young = [m if m.node != first else entry(int(first[1:]), beat=2) for m in members]
    second = name(choice_of(0, young, clock))
    assert second != first
    assert name(choice_of(0, members, clock)) == first


def test_of_a_fleet_that_starts_together_one_is_chosen_at_once(clock):
    members = [entry(n, beat=1) for n in range(9)]
    assert len({name(choice_of(n, members, clock)) for n in range(9)}) == 1


def test_one_that_does_not_answer_is_passed_over_for_a_while(clock):
    members = [entry(n) for n in range(9)]
    first = name(choice_of(0, members, clock))
    other = next(n for n in range(9) if f"r{n}" != first)
    choice = choice_of(other, members, clock)
    choice.note_silent(first)
    assert name(choice) != first
    clock.now += 1.1
    assert name(choice) == first
    choice.note_silent(first)
    clock.now += 1.1
    assert name(choice) != first
    choice.note_heard(first)
    assert name(choice) == first


def test_a_zone_that_is_cut_off_finds_its_own(clock):
    # Callers of a zone wait for schedulers that can't be reached, one after the other: each costs
    # 0.15 s, and sixty routers of other zones are believed alive for another three seconds.
    members = [entry(n) for n in range(79)]
    choice = choice_of(0, members, clock)
    tried = []
    while choice.scheduler(LLM) is not None and choice.scheduler(LLM).zone != "z0":
        tried.append(choice.scheduler(LLM).node)
        choice.note_silent(tried[-1])
    assert len(tried) <= 2


def test_a_router_that_leaves_or_is_alone_decides_by_itself(clock):
    assert choice_of(0, [entry(0)], clock).scheduler(LLM) is None
    assert choice_of(0, [], clock).scheduler(LLM) is None
