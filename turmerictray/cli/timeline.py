"""Merging the logs of many processes into one time line ordered by event time."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

_TS = re.compile(r"^ts=(\S+) .*?\bnode=(\S+) .*?\bseq=(\d+)")


def merge_logs(paths: Iterable[str | Path]) -> Iterator[str]:
    """Yield the ``key=value`` lines of all ``paths`` in order of ``ts``, then node, then seq.

    Lines that are not events of ours (no leading ``ts=``) are left out.
    """
    keyed = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as fh:
            for line in fh:
                match = _TS.match(line)
                if match:
                    ts, node, seq = match.groups()
                    keyed.append(((ts, node, int(seq)), line.rstrip("\n")))
    keyed.sort(key=lambda pair: pair[0])
    for _, line in keyed:
        yield line
