"""Entry point of a router on the platform: ``python3 -m turmerictray.platform.main``."""

import os
import sys
from typing import NoReturn

from turmerictray.core.errors import SettingsError
from turmerictray.core.logs import close_logs, log_event, setup_logging
from turmerictray.platform.engines import list_cached_parts
from turmerictray.platform.headers import PlatformDialect
from turmerictray.platform.identity import IdentityCheck
from turmerictray.platform.settings import NodeFile, build_gateway_settings, load_node_file
from turmerictray.platform.sources import OperatorSource, TargetSource
from turmerictray.router.gateway import Gateway

_EXIT_BAD_SETTINGS = 2


def build_gateway(node_file: NodeFile) -> Gateway:
    """Create the gateway for a settings file."""
    address = node_file.platform.address
    settings = build_gateway_settings(node_file)

    def make_sources(gate, broker, published_copy):
        common = address, gate, broker, published_copy, settings.read_limits
        return [OperatorSource(*common), TargetSource(*common, node_file.platform.history_s)]

    return Gateway(
        settings,
        PlatformDialect(),
        make_sources,
        lambda: build_gateway_settings(load_node_file()),
        list_cached_parts,
        IdentityCheck,
    )


def main() -> int:
    """Run a router until it is stopped, and return the exit code."""
    try:
        node_file = load_node_file()
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    setup_logging("router", node_file.node, node_file.zone, stderr=False, stdout=True)
    log_event("starting", store=node_file.platform.address, seeds=",".join(node_file.seeds))
    return build_gateway(node_file).run()


def main_and_exit() -> NoReturn:
    """Run a router and end the process without the interpreter's finalisation.

    All resources have been released by then. The finalisation would only use up the end of the
    grace period, after which the process is killed.
    """
    code = main()
    close_logs()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    main_and_exit()
