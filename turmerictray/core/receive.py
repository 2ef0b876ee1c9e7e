"""Receiving on a pull socket until it is closed, and the thread that does."""

import threading
import time
from collections.abc import Callable

import pynng

from turmerictray.core import metrics
from turmerictray.core.logs import log_event

_AFTER_ERROR_S = 0.1
"""Pause after an error of the socket, so that one that lasts does not take the processor."""


_END_S = 0.5
"""A handler that takes longer than this is left behind."""


class Receiver:
    """A thread that hands on the messages of a pull socket.

    Its socket is closed before its thread is waited for: the library's own clean-up at the end of a
    process aborts while a thread is still in it.

    Parameters
    ----------
    address : str
        ``tcp://host:port`` to listen on.
    name : str
        Of the thread.
    buffer : int
        Messages that wait to be handled.
    receive : callable
        Reads the socket until it is closed.

    Raises
    ------
    pynng.NNGException
        The address is taken.
    """

    def __init__(
        self, address: str, name: str, buffer: int, receive: Callable[[pynng.Pull0], None]
    ) -> None:
        self._pull = pynng.Pull0(listen=address, recv_buffer_size=buffer)
        self._thread = threading.Thread(target=receive, args=(self._pull,), name=name, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the socket and wait for the thread."""
        self._pull.close()
        self._thread.join(_END_S)


def receive_all(
    pull: pynng.Pull0, channel: str, failed_event: str, on_data: Callable[[bytes], None]
) -> None:
    """Hand on each message that comes, until the socket is closed.

    Parameters
    ----------
    channel : str
        Counts the bytes in the metrics.
    failed_event : str
        Name of the log line for an error of the socket.
    """
    while True:
        try:
            data = pull.recv()
        except pynng.Closed:
            return
        except pynng.NNGException as exc:
            log_event(failed_event, level="WARNING", exc=exc)
            time.sleep(_AFTER_ERROR_S)
            continue
        metrics.count_control(channel, 0, len(data))
        on_data(data)
