"""Tests for the header field Retry-After."""

import pytest

from turmerictray.transport.retry_after import MAX_RETRY_AFTER_S, parse_retry_after_s

NOW = 1_800_000_000.0


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (None, 0.0),
        ("3", 3.0),
        ("2.5", 2.5),
        (" 4 ", 4.0),
        ("600", 600.0),
        ("31536000", MAX_RETRY_AFTER_S),
        ("0", 0.0),
        ("-1", 0.0),
        ("soon", 0.0),
        ("", 0.0),
        ("nan", 0.0),
        ("inf", 0.0),
        ("1e400", 0.0),
        ("Fri, 15 Jan 2027 08:00:05 GMT", 5.0),
        ("Fri, 15 Jan 2027 07:59:55 GMT", 0.0),
        ("Fri, 99 Foo 2027 07:59:55 GMT", 0.0),
    ],
)
def test_seconds_and_dates_are_read_and_anything_else_asks_nothing(value, seconds):
    assert parse_retry_after_s(value, NOW) == seconds
