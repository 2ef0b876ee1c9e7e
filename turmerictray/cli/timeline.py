"""Merging of the logs of several processes, ordered by event time."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

_ENTRY_KEY = re.compile(r"^ts=(\S+) .*?\bnode=(\S+) .*?\bseq=([0-9]{1,18})\b")


def merge_logs(paths: Iterable[str | Path]) -> Iterator[str]:
    """Yield the ``key=value`` lines of all ``paths`` in order of ``ts``, then node, then seq.

    Lines without a leading ``ts=`` are not log events and are skipped.
    """
    entries = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as fh:
            for line in fh:
                match = _ENTRY_KEY.match(line)
                if match:
                    ts, node, seq = match.groups()
                    entries.append(((ts, node, int(seq)), line.rstrip("\n")))
    entries.sort(key=lambda entry: entry[0])
    for _, line in entries:
        yield line
