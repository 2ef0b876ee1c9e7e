"""Tests for the choice of the route, the team and the service of a request."""

from hypothesis import given
from hypothesis import strategies as st

from turmerictray.config.routes import Backend, Route, RouteKind, RoutingConfig, TeamSpec
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


def test_longest_prefix_of_host_matches():
    config = RoutingConfig(
        1, (make_route("/a/"), make_route("/a/b/"), make_route("/", "b.example"))
    )
    assert config.match("a.example", "/a/b/c").prefix == "/a/b/"
    assert config.match("a.example", "/a/bc").prefix == "/a/"
    assert config.match("b.example", "/a/b/c").prefix == "/"


def test_path_without_trailing_slash_matches_no_prefix():
    config = RoutingConfig(1, (make_route("/a/"),))
    assert config.match("a.example", "/a") is None
    assert config.match("a.example", "/ab/") is None
    assert config.match("c.example", "/a/") is None


def test_team_is_found_by_api_key():
    config = RoutingConfig(1, teams=(TeamSpec(TeamId("depot"), frozenset({"k1", "k2"})),))
    assert config.team_of("k2") == "depot"
    assert config.team_of("k3") is None
    assert config.keys_needed


def test_repeatable_depends_on_kind_and_resumability():
    assert make_route("/a/").repeatable
    assert not make_route("/a/", kind=RouteKind.NON_IDEMPOTENT).repeatable
    assert not make_route("/a/", kind=RouteKind.STREAMING).repeatable
    assert make_route("/a/", kind=RouteKind.STREAMING, resumable=True).repeatable


@given(st.floats(0, 1, exclude_max=True), st.lists(st.floats(0.1, 100), min_size=1, max_size=5))
def test_services_are_chosen_in_proportion_to_weight(draw, weights):
    names = [ServiceName(f"s{n}") for n in range(len(weights))]
    backends = tuple(Backend(name, w) for name, w in zip(names, weights, strict=True))
    chosen = names.index(make_route("/a/", backends=backends).service_for(draw))
    lower = sum(weights[:chosen])
    tolerance = 1e-6 * sum(weights)
    assert lower - tolerance <= draw * sum(weights) <= lower + weights[chosen] + tolerance
