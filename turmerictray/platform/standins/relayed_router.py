"""A router whose connections to other routers go through relays, so that they can be disturbed.

``python3 -m turmerictray.platform.standins.relayed_router`` runs a router's own entry point after
replacing the addresses of other routers where connections are opened. All routers tell the same
address of a router, and each reaches it through a relay of its own.
"""

import json
import os
import socket
from pathlib import Path
from types import ModuleType

import pynng
import urllib3.util.connection

from turmerictray.platform.main import main_and_exit
from turmerictray.platform.standins.local import RELAYS_ENV_VAR

_SCHEME = "tcp://"


def _relay_dials(relays: dict[str, str]) -> None:
    inner = pynng.Push0.dial

    def dial(self: pynng.Push0, address: str, **options: object) -> object:
        target = address.removeprefix(_SCHEME)
        return inner(self, _SCHEME + relays.get(target, target), **options)

    pynng.Push0.dial = dial


def _relay_connects(module: ModuleType, relays: dict[str, str]) -> None:
    inner = module.create_connection

    def connect(address: tuple[str, int], *args: object, **options: object) -> socket.socket:
        target = "{}:{}".format(*address)
        host, _, port = relays.get(target, target).rpartition(":")
        return inner((host, int(port)), *args, **options)

    module.create_connection = connect


def relay_peers() -> None:
    """Use the relays of the file that the environment names, if it names one."""
    path = os.environ.get(RELAYS_ENV_VAR)
    if not path:
        return
    relays = json.loads(Path(path).read_text())
    _relay_dials(relays)
    for module in (socket, urllib3.util.connection):
        _relay_connects(module, relays)


if __name__ == "__main__":
    relay_peers()
    main_and_exit()
