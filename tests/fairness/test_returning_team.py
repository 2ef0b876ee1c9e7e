"""Order of the fair queue when teams return, partitions heal and routers restart."""

from pytest_bdd import given, parsers, scenarios, then, when

from turmerictray.core.ids import NodeId, RequestId, TeamId
from turmerictray.fairness.ledger import PeerCounters, UsageLedger
from turmerictray.fairness.queue import FairQueue, PendingRequest

scenarios("features/returning_team.feature")


def _queue() -> FairQueue:
    return FairQueue(UsageLedger(NodeId("r0"), incarnation=9), 1000, retry_after=1.0)


def _push(queue: FairQueue, team: str, count: int) -> None:
    for i in range(count):
        queue.push(PendingRequest(RequestId(f"{team}-{i}"), TeamId(team), 10.0, deadline=1e9))


@given(
    parsers.parse('a team "{team}" of weight 1 that was served {tokens:d} tokens and still waits'),
    target_fixture="queue",
)
def served_and_waiting(team, tokens):
    queue = _queue()
    queue.ledger.settle(TeamId(team), 0.0, float(tokens))
    _push(queue, team, 100)
    return queue


@given(parsers.parse('a peer reports that "{team}" waits there'))
def waits_there(queue, team):
    queue.ledger.waiting_on_peers = {TeamId(team)}


@when(parsers.parse('an idle team "{team}" of weight 1 returns with {count:d} requests'))
def team_returns(queue, team, count):
    # The waiting time of the team that stayed grows without bound if the returning team is served
    # alone until its total has caught up with an hour of usage. It should start level with the
    # least served backlogged team and share from there on.
    _push(queue, team, count)


@given(
    parsers.parse(
        'teams "{a}" and "{b}" of weight 1 that wait here, and a catch-up limit of {limit:d} tokens'
    ),
    target_fixture="queue",
)
def both_wait(ctx, a, b, limit):
    ctx["limit"] = float(limit)
    queue = _queue()
    _push(queue, a, 100)
    _push(queue, b, 100)
    return queue


@when(parsers.parse("a peer reports {tokens:d} tokens of usage of {team}"))
def peer_reports(queue, ctx, tokens, team):
    # During the partition the remote side served only one team, as only that team sent requests
    # there. That team's callers here would wait until the other has received as much, starved by an
    # outage they had no part in. The debt is limited instead.
    queue.ledger.merge(PeerCounters("r1", 1, {team: float(tokens)}))
    queue.ledger.limit_deficit(ctx["limit"])


@when(parsers.parse("{count:d} requests of {tokens:d} tokens are granted"))
def grant(queue, ctx, count, tokens):
    got: dict[str, int] = {}
    for _ in range(count):
        item = queue.pop()
        queue.ledger.charge(item.team, item.estimated_cost)
        queue.ledger.settle(item.team, item.estimated_cost, float(tokens))
        got[item.team] = got.get(item.team, 0) + 1
    ctx.update(got=got, count=count)


@then(parsers.parse("{team} got between {low:d} and {high:d} of them"))
def got_between(ctx, team, low, high):
    assert low <= ctx["got"].get(team, 0) <= high, ctx["got"]


@then(parsers.parse("{team} got all of them"))
def got_all(ctx, team):
    assert ctx["got"] == {team: ctx["count"]}


@given(
    parsers.parse('a router that served {tokens:d} tokens to "{team}" and was restarted'),
    target_fixture="ledger",
)
def restarted(ctx, tokens, team):
    # The restarted router counts from zero. Without its earlier usage it would consider the teams
    # it had served most the least served ones, and serve them first.
    before = UsageLedger(NodeId("r0"), incarnation=1)
    before.settle(TeamId(team), 0.0, float(tokens))
    ctx["peer"] = UsageLedger(NodeId("r1"), incarnation=5)
    ctx["peer"].merge(before.local_report())
    return UsageLedger(NodeId("r0"), incarnation=2)


@when("a peer reports the counters of the router's earlier incarnation")
def report_earlier(ctx, ledger):
    ctx["peer"].merge(ledger.local_report())
    ctx["echoes"] = ctx["peer"].earlier_incarnations(NodeId("r0"))
    for report in ctx["echoes"]:
        ledger.merge(report)


@then(parsers.parse("the router counts {tokens:d} tokens for {team} once, also if reported again"))
def counted_once(ctx, ledger, tokens, team):
    assert ledger.total(TeamId(team)) == tokens
    for report in ctx["echoes"]:
        ledger.merge(report)
    assert ledger.total(TeamId(team)) == tokens


@given(
    parsers.parse(
        'a peer that was restarted {times:d} times, serving {tokens:d} tokens to "{team}" each time'
    ),
    target_fixture="ledger",
)
def many_incarnations(times, tokens, team):
    # Every replacement of a router starts a new incarnation. Keeping all of them would grow a
    # router's memory by one set of counters per restart, at 160 restarts a day.
    ledger = UsageLedger(NodeId("r0"), incarnation=9)
    for incarnation in range(1, times + 1):
        ledger.merge(PeerCounters("r1", incarnation, {team: float(tokens)}))
    return ledger


@then(parsers.parse("the ledger counts {tokens:d} tokens for {team} in its normalised usage"))
def counts_in_order(ledger, tokens, team):
    assert ledger.normalised(TeamId(team)) == tokens


@then(parsers.parse("it keeps at most {count:d} incarnations of the peer"))
def keeps_few(ledger, count):
    assert len([key for key in ledger.remote if key[0] == "r1"]) <= count


@then("a late heartbeat of the first incarnation changes nothing")
def late_heartbeat(ledger):
    before = ledger.normalised(TeamId("depot"))
    ledger.merge(PeerCounters("r1", 1, {"depot": 10.0}))
    assert ledger.normalised(TeamId("depot")) == before
