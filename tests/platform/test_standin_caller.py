"""The stand-in of a caller, by which tests and the soak judge whether an answer is complete."""

import pytest

from tests.router.cutting_target import STREAM, STREAM_BOUNDARIES, CuttingTarget, make_answer
from turmerictray.platform.standins.caller import RawCaller


@pytest.fixture
def target():
    started = CuttingTarget()
    yield started
    started.close()


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
def test_no_answer_that_is_cut_counts_as_complete(target, framing, is_stream):
    # A chunk size that was cut after a zero, and a cut head, counted as the end of an answer, so
    # that the soak would not have seen a router that passes on such answers.
    head, wire = make_answer(framing, is_stream, 200)
    host, _, port = target.address.rpartition(":")
    for cut in range(-len(head) + 1, len(wire) + 1):
        target.data = (head + wire)[: len(head) + cut]
        caller = RawCaller((host, int(port)))
        answer = caller.request("POST", "/plan/1", b"prompt")
        caller.close()
        may_end = cut in STREAM_BOUNDARIES if is_stream else cut >= 0
        assert answer.complete == (may_end if framing == "none" else cut == len(wire)), cut
        assert not is_stream or STREAM.startswith(answer.body)
