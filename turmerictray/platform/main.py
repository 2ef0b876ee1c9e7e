"""Runs a router on the platform: ``python3 -m turmerictray.platform.main``."""

import sys

from turmerictray.core.errors import SettingsError
from turmerictray.core.logs import log_event, setup_logging
from turmerictray.platform.engines import list_kept
from turmerictray.platform.headers import PlatformDialect
from turmerictray.platform.settings import NodeFile, gateway_settings, load_node_file
from turmerictray.platform.sources import TargetSource, TextSource
from turmerictray.router.gateway import Gateway

_BAD_SETTINGS = 2


def build(node_file: NodeFile) -> Gateway:
    """The router of a process with this settings file."""
    address = node_file.platform.address

    def sources(gate, broker, copy):
        return [
            TextSource(address, gate, broker, copy),
            TargetSource(address, gate, broker, copy),
        ]

    return Gateway(
        gateway_settings(node_file),
        PlatformDialect(),
        sources,
        lambda: gateway_settings(load_node_file()),
        list_kept,
    )


def main() -> int:
    """Run until stopped; returns the exit code."""
    try:
        node_file = load_node_file()
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return _BAD_SETTINGS
    setup_logging("router", node_file.node, node_file.zone, stderr=False, stdout=True)
    log_event("starting", store=node_file.platform.address, seeds=",".join(node_file.seeds))
    return build(node_file).run()


if __name__ == "__main__":
    sys.exit(main())
