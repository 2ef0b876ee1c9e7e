"""A client's attempt at a stream: sends one request and reads its events."""

import re
import socket

from deployment import HOST

_EVENT = re.compile(rb"id: (\d+)\n.*?\n\n", re.DOTALL)


class StreamAttempt:
    """One client attempt at a stream.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if there was none.
    retry_after_s : float
    last_event : int
        Id of the last complete event; that which the client had before if there was none.
    is_complete : bool
        Whether the answer ended as complete.
    """

    def __init__(
        self,
        front: tuple[str, int],
        path: str,
        request_id: str,
        key: str,
        deadline_ms: int,
        prompt: str,
        resumes: str = "",
        after: int = 0,
    ) -> None:
        self.status = 0
        self.retry_after_s = 0.0
        self.first_event = 0
        self.last_event = after
        self.is_complete = False
        self._data = b""
        self._body = b""
        self._sock = socket.create_connection(front, 1.0)
        extra = f"Last-Event-Id: {after}\r\nResumes: {resumes}\r\n" if resumes else ""
        self._sock.sendall(
            (
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\nX-Model: m\r\n"
                f"X-Token-Count: 1460,80\r\nX-Prompt-Prefix: {prompt}\r\n{extra}"
                "Content-Length: 6\r\n\r\nprompt"
            ).encode()
        )

    def read(self, timeout_s: float, gap_s: float = 4.0) -> None:
        """Read the answer to its end, until its connection breaks or no data comes for a while."""
        self._sock.settimeout(min(timeout_s, gap_s))
        try:
            while not self.is_complete:
                data = self._sock.recv(65536)
                if not data:
                    return
                self._data += data
                self._parse()
        except OSError:
            return
        finally:
            self._sock.close()

    def drop(self) -> None:
        """Close the connection, from any thread."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _parse(self) -> None:
        if not self.status and not self._parse_head():
            return
        while (chunk := re.match(rb"([0-9a-fA-F]+)\r\n", self._data)) is not None:
            size = int(chunk[1], 16)
            end = chunk.end() + size + 2
            if len(self._data) < end:
                return
            self._body += self._data[chunk.end() : end - 2]
            self._data = self._data[end:]
            if not size:
                self.is_complete = True
            for event in _EVENT.finditer(self._body):
                self.first_event = self.first_event or int(event[1])
                self.last_event = int(event[1])
            self._body = self._body[self._body.rfind(b"\n\n") + 2 :]

    def _parse_head(self) -> bool:
        head, mark, rest = self._data.partition(b"\r\n\r\n")
        if not mark:
            return False
        lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        self.status = int(lines[0].split()[1])
        self.retry_after_s = float(headers.get("Retry-After", 0))
        self._data = rest
        if "Content-Length" in headers:
            self.is_complete = True
        return True
