"""Steps shared by the features of the router."""

import time

from pytest_bdd import parsers, then, when

from tests.router.callers import Callers


@when(
    parsers.parse(
        "flood keeps {flood_count:d} callers busy and small keeps {small_count:d} "
        "for {seconds:d} seconds"
    )
)
def flood(fleet, ctx, flood_count, small_count, seconds):
    # The small team's callers receive answers about as fast as without the other team: its usage is
    # the lower one, so its requests are dispatched first, and the flood team's callers share the
    # remaining capacity.
    callers = Callers()
    url = fleet.routers()[0].url
    callers.add(url, "flood", flood_count, 20)
    callers.add(url, "small", small_count, 20)
    time.sleep(seconds)
    callers.finish()
    ctx.update(callers=callers, flood_count=flood_count, small_count=small_count)


@then(
    parsers.parse("each small caller got at least {times:d} times the tokens of each flood caller")
)
def small_not_starved(ctx, times):
    callers = ctx["callers"]
    per_small = callers.tokens("small") / ctx["small_count"]
    per_flood = callers.tokens("flood") / ctx["flood_count"]
    assert per_small >= times * per_flood, (per_small, per_flood)


@then("flood still got at least a third of all tokens")
def flood_not_starved(ctx):
    callers = ctx["callers"]
    total = callers.tokens("flood") + callers.tokens("small")
    assert callers.tokens("flood") >= total / 3, (callers.tokens("flood"), total)
