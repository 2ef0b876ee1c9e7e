"""Splitting of a server-sent event stream into complete events."""

import re
from dataclasses import dataclass

from turmerictray.core.errors import ConnectionBroken, OutcomeUnknown
from turmerictray.transport.body import BodyEnd

_MAX_EVENT_BYTES = 1 << 20
_EVENT_END = re.compile(rb"\n\r?\n")
"""End of an event's last line, and the blank line after it."""


class EventTooLarge(OutcomeUnknown):
    """An event exceeds the size limit without ending."""


@dataclass(frozen=True)
class Event:
    """One complete server-sent event.

    Attributes
    ----------
    data : bytes
        The event's bytes, including the blank line that ends it.
    event_id : str or None
        The value of the ``id`` field, or None if the event has none.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Incremental splitter of a byte stream into complete events.

    Only complete events are relayed to a caller. If a target fails in the middle of an event, the
    incomplete event is dropped with the connection, and the target that continues the stream sends
    the whole event again.
    """

    def __init__(self) -> None:
        self._remainder = b""
        self._event_count = 0

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes of the stream and return the events that they complete.

        Raises
        ------
        EventTooLarge
            An unfinished event exceeds the size limit.
        """
        received, begin, events = self._remainder + data, 0, []
        for blank_line in _EVENT_END.finditer(received):
            events.append(_parse_event(received[begin : blank_line.end()]))
            begin = blank_line.end()
        self._remainder = received[begin:]
        self._event_count += len(events)
        if len(self._remainder) > _MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is over {_MAX_EVENT_BYTES} bytes")
        return events

    @property
    def rest(self) -> bytes:
        """Bytes received after the last complete event."""
        return self._remainder

    def check_complete(self, end: BodyEnd) -> None:
        """Check that the stream, whose body has ended, was not broken off.

        A stream that ends within an event was broken off, whatever delimits its body. If only the
        close of the connection does, so was a stream without any event.

        Parameters
        ----------
        end : BodyEnd
            What delimited the body.

        Raises
        ------
        OutcomeUnknown
            The stream was broken off; :class:`ConnectionBroken` if its connection delimited it.
        """
        is_closed = end is BodyEnd.CONNECTION_CLOSE
        if self._remainder.strip(b"\r\n") or (is_closed and not self._event_count):
            error = ConnectionBroken if is_closed else OutcomeUnknown
            raise error("the stream ended within an event, or before the first one")


def _parse_event(data: bytes) -> Event:
    event_id = None
    for line in data.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
    return Event(data, event_id)
