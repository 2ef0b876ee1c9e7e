"""Validation of the headers of callers' requests."""

import pytest

from turmerictray.core.errors import CallerError
from turmerictray.platform.headers import PlatformDialect
from turmerictray.transport.exchange import RequestHead

VALID_HEADERS = {"Host": "shop.example", "X-Request-Id": "a1", "X-Deadline-Ms": "500"}


def read(**changes: str):
    headers = VALID_HEADERS | {name.replace("_", "-"): value for name, value in changes.items()}
    return PlatformDialect().read(RequestHead("GET", "/ping/1", headers))


@pytest.mark.parametrize("text", ["soon", "nan", "inf", "-1", "-0.5", "", "500, 500"])
def test_invalid_deadline_is_refused(text):
    """Guards against treating a request as expired because its deadline is invalid."""
    with pytest.raises(CallerError):
        read(X_Deadline_Ms=text)


@pytest.mark.parametrize(("text", "seconds"), [("0", 0.0), ("500", 0.5), ("62.5", 0.0625)])
def test_deadline_is_converted_to_seconds(text, seconds):
    assert read(X_Deadline_Ms=text).caller_timeout_s == seconds


@pytest.mark.parametrize(
    ("fields", "resumes"),
    [
        ({}, None),
        ({"Resumes": "a0"}, None),
        ({"Last_Event_Id": "3", "Resumes": "a0"}, "a0"),
        ({"Last_Event_Id": "3"}, ""),
        ({"Last_Event_Id": "", "Resumes": "a0"}, None),
    ],
)
def test_stream_that_a_request_takes_up(fields, resumes):
    assert read(**fields).resumes == resumes


def test_repeated_name_of_a_stream_is_refused():
    """Guards against continuing either of two streams."""
    with pytest.raises(CallerError):
        read(Last_Event_Id="3", Resumes="a0, a1")


def test_repeated_request_id_is_refused():
    """Guards against accepting answers with either of two request ids."""
    with pytest.raises(CallerError):
        read(X_Request_Id="a1, b2")


@pytest.mark.parametrize("name", ["X-Request-Id", "x-token-count", "X-Model", "Last-Event-Id"])
def test_required_headers_must_not_be_listed_in_connection(name):
    """Guards against a request that reaches its target without its id, model or prompt headers.

    Headers that are listed in ``Connection`` are not forwarded.
    """
    with pytest.raises(CallerError):
        read(Connection=f"keep-alive, {name}")
    assert read(Connection="keep-alive, X-Other").request_id == "a1"


@pytest.mark.parametrize("tokens", ["9" * 400, "-5000", str(1 << 62)])
@pytest.mark.parametrize(
    ("count", "prefix"), [("{},10", "a:1000"), ("1000,{}", "a:1000"), ("1000,10", "a:{}")]
)
def test_impossible_token_count_is_refused(tokens, count, prefix):
    """Guards against a broker that fails on a prompt length that no float can hold."""
    with pytest.raises(CallerError):
        read(X_Token_Count=count.format(tokens), X_Prompt_Prefix=prefix.format(tokens))


def test_part_ids_are_equal_however_they_are_written():
    """Guards against a crashing part that is new to the routers in each spelling."""
    prompts = [
        read(X_Token_Count="100,10", X_Prompt_Prefix=text).prompt
        for text in ("c0ffee:60,1:40", "C0FFEE:60,1:40", " 00c0ffee:60, 01:40")
    ]
    assert prompts[0] == prompts[1] == prompts[2]
    assert [part.part_id for part in prompts[0].parts] == ["c0ffee", "1"]
    assert read(X_Token_Count="1,1", X_Prompt_Prefix="00:1").prompt.parts[0].part_id == "0"
