"""Which route and team a request belongs to."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.config.routes import Backend, Route, RouteKind, RoutingText, TeamSpec
from turmerictray.core.ids import ServiceName, TeamId

APP = ServiceName("app")


def make_route(prefix: str, host: str = "a.example", **changes) -> Route:
    fields = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "backends": (Backend(APP),),
        "timeout_s": 1.0,
        "objective_s": 0.5,
    }
    return Route(**{**fields, **changes})


def test_longest_prefix_of_the_host_wins():
    text = RoutingText(1, (make_route("/a/"), make_route("/a/b/"), make_route("/", "b.example")))
    assert text.match("a.example", "/a/b/c").prefix == "/a/b/"
    assert text.match("a.example", "/a/bc").prefix == "/a/"
    assert text.match("b.example", "/a/b/c").prefix == "/"


def test_path_without_its_slash_matches_no_prefix():
    text = RoutingText(1, (make_route("/a/"),))
    assert text.match("a.example", "/a") is None
    assert text.match("a.example", "/ab/") is None
    assert text.match("c.example", "/a/") is None


def test_team_is_the_one_that_holds_the_key():
    text = RoutingText(1, teams=(TeamSpec(TeamId("depot"), frozenset({"k1", "k2"})),))
    assert text.team_of("k2") == "depot"
    assert text.team_of("k3") is None
    assert text.keys_needed


def test_only_what_may_be_repeated_is_repeatable():
    assert make_route("/a/").repeatable
    assert not make_route("/a/", kind=RouteKind.NON_IDEMPOTENT).repeatable
    assert not make_route("/a/", kind=RouteKind.STREAMING).repeatable
    assert make_route("/a/", kind=RouteKind.STREAMING, resumable=True).repeatable


@given(st.floats(0, 1, exclude_max=True), st.lists(st.floats(0.1, 100), min_size=1, max_size=5))
def test_backends_share_a_route_by_weight(draw, weights):
    names = [ServiceName(f"s{n}") for n in range(len(weights))]
    backends = tuple(Backend(name, w) for name, w in zip(names, weights, strict=True))
    chosen = names.index(make_route("/a/", backends=backends).service_for(draw))
    below = sum(weights[:chosen])
    slack = 1e-6 * sum(weights)
    assert below - slack <= draw * sum(weights) <= below + weights[chosen] + slack
