"""Splitting a stream of server-sent events into whole events."""

from dataclasses import dataclass

_MAX_EVENT_BYTES = 1 << 20


class EventTooLarge(ValueError):
    """An event does not end within the size limit."""


@dataclass(frozen=True)
class Event:
    """One whole event.

    Attributes
    ----------
    data : bytes
        The event's bytes with the blank line that ends it.
    event_id : str or None
        The value of its ``id`` field.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Cuts the bytes of a stream at the ends of events.

    Only whole events go on to a caller. When a target breaks off within an event, its first half
    is dropped with the connection and the event comes whole from the target that goes on.
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take more bytes; returns the events that they complete.

        Raises
        ------
        EventTooLarge
            An unfinished event exceeds the size limit.
        """
        self._rest += data
        events = []
        while True:
            end = _event_end(self._rest)
            if end < 0:
                break
            events.append(_event(self._rest[:end]))
            self._rest = self._rest[end:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is over {_MAX_EVENT_BYTES} bytes")
        return events

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest


def _event_end(data: bytes) -> int:
    """Index after the first blank line, or -1."""
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=-1)


def _event(data: bytes) -> Event:
    event_id = None
    for line in data.splitlines():
        if line.startswith(b"id:"):
            event_id = line[3:].strip().decode("latin-1")
    return Event(data, event_id)
