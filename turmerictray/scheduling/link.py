"""The sockets on which routers and schedulers exchange messages about single requests.

Each router pulls on one address and pushes to those that it asks or answers. Handlers run on the
receiving thread; a message that can't be sent at once is reported to the sender, who has another
way: a router decides by itself, a scheduler takes its grant back.
"""

import threading
from collections.abc import Callable

import msgspec
import pynng

from turmerictray.core import metrics
from turmerictray.core.errors import PeerError
from turmerictray.core.logs import log_event
from turmerictray.core.receive import Receiver, receive_all
from turmerictray.scheduling.messages import SchedulingMessage

_SEND_BUFFER = 128
"""Messages on their way to one router: what one with a thousand requests a second sends, and what
it is granted, while either side has no processor time for a tenth of a second."""

_RECV_BUFFER = 1024
"""Messages that wait to be handled: three for each of 300 requests that come within a pause."""

_DECODER = msgspec.msgpack.Decoder(SchedulingMessage)
_ENCODER = msgspec.msgpack.Encoder()


class SchedulingLink:
    """Sends and receives :data:`SchedulingMessage` values.

    Parameters
    ----------
    address : str
        ``tcp://host:port`` to pull on.
    on_message : callable
        Called with each message, on the receiving thread.
    """

    def __init__(self, address: str, on_message: Callable[[SchedulingMessage], None]) -> None:
        self.address = address
        self._on_message = on_message
        self._lock = threading.Lock()
        self._outlets: dict[str, pynng.Push0] = {}
        self._receiver: Receiver | None = None

    def start(self) -> None:
        """Listen; raises :class:`PeerError` when the address is taken."""
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
            outlets, self._outlets = self._outlets, {}
        for outlet in outlets.values():
            outlet.close()

    def send(self, address: str, message: SchedulingMessage) -> bool:
        """Send to a router; false when it can't be sent now."""
        data = _ENCODER.encode(message)
        try:
            self._outlet(address).send(data, block=False)
        except pynng.NNGException as exc:
            log_event("scheduling_send_failed", level="WARNING", to=address, exc=exc)
            if not isinstance(exc, pynng.TryAgain):
                self.redial(address)
            # A full buffer is no broken connection: opened anew, all in it would be lost, also the
            # ends of requests, without which engines count as busy for seconds.
            return False
        metrics.count_control("scheduling", len(data), 0)
        return True

    def is_dialled(self, address: str) -> bool:
        """Whether there is a connection to an address, or one is being opened."""
        return address in self._outlets

    def redial(self, address: str) -> None:
        """Use a new connection from now on.

        One that a cut left half open swallows messages without an error while new ones work.
        """
        with self._lock:
            outlet = self._outlets.pop(address, None)
        if outlet is not None:
            outlet.close()

    def _outlet(self, address: str) -> pynng.Push0:
        with self._lock:
            outlet = self._outlets.get(address)
            if outlet is None:
                outlet = pynng.Push0(send_buffer_size=_SEND_BUFFER)
                outlet.dial(address, block=False)
                self._outlets[address] = outlet
            return outlet

    def _receive(self, pull: pynng.Pull0) -> None:
        receive_all(pull, "scheduling", "scheduling_receive_failed", self._take)

    def _take(self, data: bytes) -> None:
        try:
            message = _DECODER.decode(data)
        except msgspec.DecodeError as exc:
            log_event("scheduling_message_refused", level="WARNING", reason=str(exc)[:200])
            return
        self._on_message(message)
