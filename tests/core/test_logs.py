"""Rendering of log events."""

import pytest

from turmerictray.core.logs import format_event, parse_event


@pytest.mark.parametrize("odd", ["a\rts=1 event=request", "a\x1b[2J", "a\u2028b", "\ud800", "\x00"])
def test_odd_value_stays_within_its_line(odd):
    """Guards against names of others that forge log lines, or can't be written."""
    line = format_event("target_refused", {"target": odd, "reason": "x"})
    assert line.isprintable() and line.encode()
    fields = parse_event(line)
    assert fields["event"] == "target_refused" and fields["reason"] == "x"


def test_line_breaks_quotes_and_backslashes_are_escaped():
    line = format_event("e", {"a": 'x\n"\\', "b": "plain", "c": "\u00fc"})
    assert line.endswith('a="x\\n\\"\\\\" b=plain c=\u00fc')
