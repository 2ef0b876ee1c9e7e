"""Sockets on which routers and schedulers exchange messages about single requests.

Each router has one pull socket for incoming messages and a push socket per router that it sends to.
Handlers run on the receiving thread. :meth:`SchedulingLink.send` never blocks: if it fails, a
router places the request itself, and a scheduler revokes its grant.
"""

import threading
from collections.abc import Callable

import msgspec
import pynng

from turmerictray.core import metrics
from turmerictray.core.decoding import DecodingError, MessageDecoder
from turmerictray.core.errors import PeerError
from turmerictray.core.logs import log_event
from turmerictray.core.receive import Receiver, receive_all
from turmerictray.scheduling.messages import SchedulingMessage

_SEND_BUFFER = 128
"""Messages buffered per receiving router. This covers the requests or grants of a router with 1000
requests/s while either side gets no processor time for 0.1 s."""

_RECV_BUFFER = 1024
"""Received messages that are not handled yet: three for each of 300 requests that arrive while the
process is paused."""

_DECODER = MessageDecoder(SchedulingMessage)
_ENCODER = msgspec.msgpack.Encoder()


class SchedulingLink:
    """Sends and receives :data:`SchedulingMessage` values.

    Parameters
    ----------
    address : str
        ``tcp://host:port`` to listen on.
    on_message : callable
        Called with each message, on the receiving thread.
    """

    def __init__(self, address: str, on_message: Callable[[SchedulingMessage], None]) -> None:
        self.address = address
        self._on_message = on_message
        self._lock = threading.Lock()
        self._sockets: dict[str, pynng.Push0] = {}
        self._receiver: Receiver | None = None

    def start(self) -> None:
        """Listen on the address.

        Raises
        ------
        PeerError
            If the address is in use.
        """
        try:
            self._receiver = Receiver(
                self.address, "scheduling-receive", _RECV_BUFFER, self._receive
            )
        except pynng.NNGException as exc:
            raise PeerError(f"cannot listen on {self.address}: {exc}") from exc

    def stop(self) -> None:
        """Close all sockets."""
        self._receiver.close()
        with self._lock:
            sockets, self._sockets = self._sockets, {}
        for push in sockets.values():
            push.close()

    def send(self, address: str, message: SchedulingMessage) -> bool:
        """Send a message to a router without blocking; return whether it was sent."""
        data = _ENCODER.encode(message)
        try:
            self._socket_to(address).send(data, block=False)
        except pynng.NNGException as exc:
            log_event("scheduling_send_failed", level="WARNING", to=address, exc=exc)
            if not isinstance(exc, pynng.TryAgain):
                self.reconnect(address)
            # A full buffer does not mean a broken connection. Reconnecting would discard the
            # buffered messages, and without their `Ended` messages engines would be counted as
            # busy for seconds.
            return False
        metrics.count_control_bytes("scheduling", len(data), 0)
        return True

    def is_connected(self, address: str) -> bool:
        """Whether a connection to an address is open or being opened."""
        return address in self._sockets

    def reconnect(self, address: str) -> None:
        """Close the connection to an address; the next message opens a new one.

        A connection that a network partition left half open loses messages without an error, while
        new connections work.
        """
        with self._lock:
            push = self._sockets.pop(address, None)
        if push is not None:
            push.close()

    def _socket_to(self, address: str) -> pynng.Push0:
        with self._lock:
            push = self._sockets.get(address)
            if push is None:
                push = pynng.Push0(send_buffer_size=_SEND_BUFFER)
                push.dial(address, block=False)
                self._sockets[address] = push
            return push

    def _receive(self, pull: pynng.Pull0) -> None:
        receive_all(pull, "scheduling", "scheduling_receive_failed", self._handle)

    def _handle(self, data: bytes) -> None:
        try:
            message = _DECODER.decode(data)
        except DecodingError as exc:
            log_event("scheduling_message_refused", level="WARNING", reason=str(exc)[:200])
            return
        self._on_message(message)
