"""Structured logs: one line of ``key=value`` pairs per event.

Every line starts with ``ts`` (UTC, with microseconds), ``node``, ``zone``, ``role`` and ``seq``, a
counter of the process, so that :mod:`turmerictray.cli.timeline` can merge the logs of all processes
into one timeline.
"""

import atexit
import itertools
import logging
import re
import sys
import threading
import time
from datetime import UTC, datetime

from loguru import logger

from turmerictray.core.log_sink import LineBudget, StdoutSink

_seq = itertools.count()
_seq_lock = threading.Lock()
_request_budget = LineBudget()
_stdout_sinks: list[StdoutSink] = []
_identity = {"node": "-", "zone": "-", "role": "-"}


def _quote(value: object) -> str:
    text = str(value)
    if text != "" and text.isprintable() and not any(ch in text for ch in ' ="'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    if not escaped.isprintable():
        # Readers take more characters than the line feed as the end of a line.
        escaped = "".join(ch if ch.isprintable() else _escape(ch) for ch in escaped)
    return f'"{escaped}"'


def _escape(character: str) -> str:
    return character.encode("unicode_escape").decode()


def format_event(event: str, fields: dict[str, object]) -> str:
    """Render one event as a ``key=value`` line.

    Parameters
    ----------
    event : str
        The event name, for example ``dispatch``.
    fields : dict
        Further pairs; values are rendered with ``str`` and quoted where necessary.

    Returns
    -------
    str
        The line, without a trailing newline.
    """
    with _seq_lock:
        seq = next(_seq)
    ts = datetime.fromtimestamp(time.time(), UTC).strftime("%Y-%m-%dT%H:%M:%S.%fZ")
    head = {"ts": ts, **_identity, "seq": seq, "event": event}
    pairs = itertools.chain(head.items(), fields.items())
    return " ".join(f"{key}={_quote(val)}" for key, val in pairs)


_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


def parse_event(line: str) -> dict[str, str]:
    """Parse a line rendered by :func:`format_event` into its pairs, with the quotes removed."""
    return {key: value.strip('"') for key, value in _PAIR.findall(line)}


def setup_logging(
    role: str,
    node: str = "-",
    zone: str = "-",
    path: str | None = None,
    stderr: bool = True,
    stdout: bool = False,
) -> None:
    """Configure where this process logs: standard error, standard output, a file or several.

    Parameters
    ----------
    role : str
        Kind of process (``router``, ``engine``...).
    node, zone : str
        Identity of the process, from its settings.
    path : str or None
        A log file to append to.
    stderr : bool
        False for tools that use standard error for messages to their user.
    stdout : bool
        Also write to standard output, on a separate thread that never blocks the caller.
    """
    _identity.update(node=node, zone=zone, role=role)
    logger.remove()
    if stderr:
        logger.add(sys.stderr, format="{message}", level="INFO", enqueue=False)
    if stdout:
        sink = StdoutSink()
        # The sink's thread is a daemon; without this, the last lines are lost if it does not run
        # before the process ends.
        atexit.register(sink.close)
        _stdout_sinks.append(sink)
        logger.add(sink, format="{message}", level="INFO", enqueue=False, catch=False)
    if path:
        logger.add(path, format="{message}", level="INFO", enqueue=False)
    _log_actor_failures()


def close_logs() -> None:
    """Write what is queued; later lines are lost. Call before a process ends by ``os._exit``."""
    for sink in _stdout_sinks:
        sink.close()


class _LibraryLogs(logging.Handler):
    """Writes a library's warnings and errors, with the exception if there is one, as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        exc = record.exc_info[1] if record.exc_info else None
        reason = record.getMessage() if exc is None else f"{record.getMessage()} {exc!r}"
        log_event("library_log", level="WARNING", logger=record.name, reason=reason[:300])


def _log_actor_failures() -> None:
    # pykka installs a handler that discards its records, so that an actor that fails without a
    # hook of its own would leave no trace.
    pykka_logger = logging.getLogger("pykka")
    if not any(isinstance(handler, _LibraryLogs) for handler in pykka_logger.handlers):
        pykka_logger.addHandler(_LibraryLogs(level=logging.WARNING))


def log_event(event: str, level: str = "INFO", **fields: object) -> None:
    """Log one event as a ``key=value`` line.

    Parameters
    ----------
    event : str
        The event name.
    level : str
        Name of the loguru level.
    **fields
        Pairs of the event.
    """
    logger.log(level, format_event(event, fields))


def log_unknown_message(message: object) -> None:
    """Log that an actor received a message of a type that it does not handle."""
    log_event("unknown_message", level="WARNING", kind=type(message).__name__)


def log_request(event: str, failed: bool, **fields: object) -> None:
    """Log one event of a request unless this second's budget of lines is exhausted.

    Parameters
    ----------
    event : str
        The event name.
    failed : bool
        Whether the request failed; failures have a separate budget.
    **fields
        Pairs of the event.
    """
    if not _request_budget.try_spend(failed):
        return
    dropped = _request_budget.pop_dropped_count()
    if dropped:
        log_event("lines_left_out", count=dropped)
    log_event(event, **fields)
