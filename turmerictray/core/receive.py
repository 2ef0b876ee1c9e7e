"""Receiving on a pull socket until it is closed."""

import time
from collections.abc import Callable

import pynng

from turmerictray.core import metrics
from turmerictray.core.logs import log_event

_AFTER_ERROR_S = 0.1
"""Pause after an error of the socket, so that one that lasts does not take the processor."""


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
