"""Another target for a stream whose own target is silent.

The silent target may go on at any time, and possibly no other may take the stream up. So its
connection stays open until another target is granted.
"""

import time
from collections.abc import Callable

from turmerictray.admission.pool_types import Outcome
from turmerictray.core.errors import AdmissionError, TurmerictrayError
from turmerictray.core.logs import log_request
from turmerictray.core.reply import Reply
from turmerictray.router.routed_request import RoutedRequest
from turmerictray.scheduling.broker_messages import Ask, Granted, Settled, Withdraw
from turmerictray.scheduling.placement_client import PlacementClient
from turmerictray.transport.target_conn import TargetConnection

_POLL_S = 0.02
"""Interval at which a reply is polled while events are awaited, in seconds."""

_ASK_AGAIN_S = 1.0
"""Time after a refusal until a target is asked for again, in seconds."""


class TakeUp:
    """Search for a target that takes up a stream, while its own is silent.

    Parameters
    ----------
    client : PlacementClient
    make_ask : callable
        Returns the request for a target, given its reply. Its call id must not be that of the
        silent attempt, whose grant is not settled yet.
    deadline : float
        Until when another target could still complete the answer, in monotonic seconds.
    """

    def __init__(
        self, client: PlacementClient, make_ask: Callable[[Reply], Ask], deadline: float
    ) -> None:
        self._client = client
        self._make_ask = make_ask
        self._deadline = deadline

    def find(self, conn: TargetConnection) -> Granted | None:
        """Wait until another target is granted, or the silent one goes on.

        Parameters
        ----------
        conn : TargetConnection
            Connection to the silent target.

        Returns
        -------
        Granted or None
            None if there is something to read from ``conn``, or the deadline has passed.

        Raises
        ------
        OutcomeUnknown
            The connection broke.
        """
        while time.monotonic() < self._deadline:
            ask = self._make_ask(Reply())
            try:
                return self._await_grant(ask, conn)
            except AdmissionError as exc:
                reason = f"{type(exc).__name__}: {exc}"
                log_request("take_up_refused", failed=True, req=ask.req_id, reason=reason)
            if conn.wait_for_data(min(time.monotonic() + _ASK_AGAIN_S, self._deadline)):
                return None
        return None

    def _await_grant(self, ask: Ask, conn: TargetConnection) -> Granted | None:
        granted = None
        try:
            self._client.tell(ask)
            if self._is_answered_first(ask.reply, conn):
                granted = ask.reply.result(0)
            return granted
        finally:
            if granted is None:
                self._withdraw(ask)

    def _is_answered_first(self, reply: Reply, conn: TargetConnection) -> bool:
        """Return whether a reply comes before data of the silent target and the deadline."""
        while (now := time.monotonic()) < self._deadline:
            if conn.wait_for_data(min(now + _POLL_S, self._deadline)):
                return False
            if reply.done():
                return True
        return False

    def _withdraw(self, ask: Ask) -> None:
        """Withdraw a request for a target; give the target back if it has just been granted."""
        if ask.reply.cancel():
            self._client.tell(Withdraw(ask.call_id, ask.service))
            return
        if isinstance(ask.reply.exception(), TurmerictrayError):
            return
        return_grant(self._client, ask, ask.reply.result())


def return_grant(client: PlacementClient, placed: Ask | RoutedRequest, granted: Granted) -> None:
    """Give a granted target back that is not used."""
    client.tell(Settled(placed.call_id, placed.service, granted.target.id, Outcome.NOT_RUN, 0.0))
