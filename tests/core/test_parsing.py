"""Parsing of source while finalizers run, which Hypothesis does before each stateful test."""

import ast
import traceback
from pathlib import Path

SOURCE = Path(__file__).read_text() * 50


class _FormatsTraceback:
    """Garbage that only the collector frees, and whose finalizer formats a traceback."""

    def __init__(self) -> None:
        self.itself = self

    def __del__(self) -> None:
        try:
            {}["missing"]["name"]
        except KeyError:
            traceback.format_exc()


def test_source_is_parsed_while_finalizers_format_tracebacks():
    """Guards against a SystemError of the interpreter that ends a test before its first step."""
    garbage = [_FormatsTraceback() for _ in range(50)]
    del garbage
    assert ast.parse(SOURCE).body
