"""Callers' heads that no target could be given as they are."""

import pytest

from turmerictray.core.errors import CallerError
from turmerictray.platform.headers import PlatformDialect
from turmerictray.transport.exchange import RequestHead

PROPER = {"Host": "shop.example", "X-Request-Id": "a1", "X-Deadline-Ms": "500"}


def read(**changes: str):
    headers = PROPER | {name.replace("_", "-"): value for name, value in changes.items()}
    return PlatformDialect().read(RequestHead("GET", "/ping/1", headers))


@pytest.mark.parametrize("text", ["soon", "nan", "inf", "-1", "-0.5", "", "500, 500"])
def test_a_deadline_that_is_no_time_is_refused(text):
    """Guards against a request that is held to be late because its deadline can't be read."""
    with pytest.raises(CallerError):
        read(X_Deadline_Ms=text)


@pytest.mark.parametrize(("text", "seconds"), [("0", 0.0), ("500", 0.5), ("62.5", 0.0625)])
def test_a_deadline_is_read_in_seconds(text, seconds):
    assert read(X_Deadline_Ms=text).caller_left_s == seconds


def test_two_ids_are_refused():
    """Guards against an answer that is matched with either of two ids."""
    with pytest.raises(CallerError):
        read(X_Request_Id="a1, b2")


@pytest.mark.parametrize("name", ["X-Request-Id", "x-token-count", "X-Model", "Last-Event-Id"])
def test_headers_that_the_target_needs_may_not_concern_the_connection_only(name):
    """Guards against a request that reaches its target without what it is known by."""
    with pytest.raises(CallerError):
        read(Connection=f"keep-alive, {name}")
    assert read(Connection="keep-alive, X-Other").request_id == "a1"
