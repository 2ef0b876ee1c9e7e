"""Small fakes at the interfaces of the order guard."""

import json

import pykka

from turmerictray.config.load import parse_config
from turmerictray.orders.ask import AskHome
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


class VouchingHome(pykka.ThreadingActor):
    """A home that grants everything."""

    def on_receive(self, message: object) -> None:
        if isinstance(message, AskHome):
            message.reply.set_result(Vote.GRANTED)


class AlwaysGrants(pykka.ThreadingActor):
    """A dispatcher that grants every admission the same slot."""

    def __init__(self, grant: Grant) -> None:
        super().__init__()
        self.grant = grant

    def on_receive(self, message: object) -> None:
        if isinstance(message, Admit):
            message.reply.set_result(self.grant)


class NeverCalled:
    """An upstream that counts calls, of which there must be none."""

    def __init__(self) -> None:
        self.calls = 0

    def open(self, *_args):
        self.calls += 1
        raise AssertionError("an order was sent")
