"""Fakes of the collaborators of the order guard."""

import json

import pykka

from turmerictray.config.load import parse_config
from turmerictray.orders.messages import AskHome
from turmerictray.orders.vote import Vote
from turmerictray.router.messages import Admit, Grant

CONFIG = parse_config(
    json.dumps(
        {
            "version": 1,
            "services": [
                {
                    "name": "orders",
                    "kind": "plain",
                    "idempotent": False,
                    "targets": [{"id": "s0", "url": "http://s0", "zone": "madina"}],
                }
            ],
            "teams": [{"id": "depot"}],
        }
    )
)


class GrantingReplica(pykka.ThreadingActor):
    """A claim replica that grants every claim."""

    def on_receive(self, message: object) -> None:
        if isinstance(message, AskHome):
            message.reply.set_result(Vote.GRANTED)


class GrantingDispatcher(pykka.ThreadingActor):
    """A dispatcher that answers every admission with the same grant."""

    def __init__(self, grant: Grant) -> None:
        super().__init__()
        self.grant = grant

    def on_receive(self, message: object) -> None:
        if isinstance(message, Admit):
            message.reply.set_result(self.grant)


class UncalledUpstream:
    """An upstream that counts calls and fails the test on the first one."""

    def __init__(self) -> None:
        self.calls = 0

    def open(self, *_args):
        self.calls += 1
        raise AssertionError("an order was sent")
