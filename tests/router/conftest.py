"""Steps shared by the router's features."""

import time

from pytest_bdd import parsers, then, when

from tests.router.callers import Callers


@when(
    parsers.parse(
        "flood keeps {many:d} callers busy and small keeps {few:d} for {seconds:d} seconds"
    )
)
def flood(fleet, ctx, many, few, seconds):
    # The small team's callers see answers about as fast as if flood were absent: its
    # requests are the least served, so each goes next; flood's twenty share what is left.
    callers = Callers()
    url = fleet.routers()[0].url
    callers.add(url, "flood", many, 20)
    callers.add(url, "small", few, 20)
    time.sleep(seconds)
    callers.finish()
    ctx.update(callers=callers, many=many, few=few)


@then(
    parsers.parse("each small caller got at least {times:d} times the tokens of each flood caller")
)
def small_not_starved(ctx, times):
    callers = ctx["callers"]
    per_small = callers.tokens("small") / ctx["few"]
    per_flood = callers.tokens("flood") / ctx["many"]
    assert per_small >= times * per_flood, (per_small, per_flood)


@then("flood still got at least a third of all tokens")
def flood_not_starved(ctx):
    callers = ctx["callers"]
    total = callers.tokens("flood") + callers.tokens("small")
    assert callers.tokens("flood") >= total / 3, (callers.tokens("flood"), total)
