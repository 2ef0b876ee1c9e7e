"""A client of a router on a raw socket, without an HTTP library in between."""

import re
import socket
import time
from dataclasses import dataclass, field

from turmerictray.platform.standins.local import API_KEY, HOST

_SOCKET_TIMEOUT_S = 8.0


@dataclass
class RawAnswer:
    """An answer as received by a caller.

    Attributes
    ----------
    status : int
        0 if no status line was received.
    complete : bool
        Whether the body was received to its end: by its length, by its last chunk or, if it has
        neither, by a close of the connection that is not within an event.
    elapsed_s : float
        Time spent reading the answer.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    elapsed_s: float = 0.0

    def event_ids(self) -> list[int]:
        """Return the ids of the complete events in the body."""
        return [int(number) for number in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.body)]

    def versions(self) -> set[str]:
        """Return the software versions of the workers that wrote the events in the body."""
        return {found.decode() for found in re.findall(rb"data: (\S+) piece-", self.body)}


class RawCaller:
    """A connection to a router.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the router.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=_SOCKET_TIMEOUT_S)
        self._rfile = self.sock.makefile("rb")

    def send(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.sock.sendall(data)

    def request(self, method: str, target: str, body: bytes = b"", **headers: str) -> RawAnswer:
        """Send a request and read its answer."""
        self.send(make_request(method, target, body, **headers))
        return self.read()

    def read(self, answer: RawAnswer | None = None) -> RawAnswer:
        """Read one answer; ``complete`` is False if the connection ended before its end.

        Parameters
        ----------
        answer : RawAnswer or None
            Filled as data arrives, so that other threads see how far the answer has come.
        """
        started_at = time.monotonic()
        answer = answer or RawAnswer()
        try:
            self._read_into(answer)
        except (ConnectionError, ValueError):
            answer.complete = False
        answer.elapsed_s = time.monotonic() - started_at
        return answer

    def _read_into(self, answer: RawAnswer) -> None:
        line = self._read_line()
        answer.status = int(line.split()[1])
        while (line := self._read_line()) != b"":
            name, _, value = line.decode().partition(":")
            answer.headers[name.title()] = value.strip()
        if answer.headers.get("Transfer-Encoding") == "chunked":
            self._read_chunks(answer)
        elif "Content-Length" in answer.headers:
            length = int(answer.headers["Content-Length"])
            answer.body = self._rfile.read(length)
            answer.complete = len(answer.body) == length
        else:
            self._read_unframed(answer)

    def _read_line(self) -> bytes:
        """Read a line without its end; a line that the connection cuts is an error."""
        line = self._rfile.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("the connection ended within a line")
        return line[:-2]

    def _read_chunks(self, answer: RawAnswer) -> None:
        while size := int(self._read_line().partition(b";")[0], 16):
            answer.body += self._rfile.read(size)
            self._read_line()
        while self._read_line():
            pass
        answer.complete = True

    def _read_unframed(self, answer: RawAnswer) -> None:
        while data := self._rfile.read1():
            answer.body += data
        is_stream = answer.headers.get("Content-Type", "").startswith("text/event-stream")
        answer.complete = not is_stream or answer.body.endswith((b"\n\n", b"\n\r\n"))

    def is_closed(self, within_s: float = 2.0) -> bool:
        """Whether the router closes the connection within ``within_s`` without sending a byte."""
        self.sock.settimeout(within_s)
        try:
            return self._rfile.read(1) == b""
        except TimeoutError:
            return False
        except ConnectionError:
            return True

    def close(self) -> None:
        """Close the connection."""
        self._rfile.close()
        self.sock.close()


def make_request(method: str, target: str, body: bytes = b"", **headers: str) -> bytes:
    """Encode a valid request.

    Parameters
    ----------
    **headers : str
        Header fields to add or replace, with underscores for hyphens in their names; an empty
        value removes the field.
    """
    fields = {
        "Host": HOST,
        "X-Request-Id": f"{time.monotonic_ns():016x}",
        "X-Deadline-Ms": "5000",
        "Authorization": f"Bearer {API_KEY}",
        "Content-Length": str(len(body)),
    }
    fields.update({name.replace("_", "-"): val for name, val in headers.items()})
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {val}" for name, val in fields.items() if val]
    return "\r\n".join([*lines, "", ""]).encode() + body


PROMPT_HEADERS = {
    "X_Model": "m",
    "X_Token_Count": "1460,80",
    "X_Prompt_Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
}
"""Headers of a generation request: model, prompt and output tokens, and prompt parts."""
