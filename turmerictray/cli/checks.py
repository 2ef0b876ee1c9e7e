"""The ``config check`` command: validates files with the same code that the processes use."""

import sys
from collections.abc import Callable
from pathlib import Path

from turmerictray.config.load import load_settings, parse_config
from turmerictray.config.settings import (
    ConfigServiceSettings,
    EngineSettings,
    InstanceListSettings,
    RouterSettings,
    ServiceSettings,
)
from turmerictray.core.errors import ConfigError, SettingsError

_USAGE = 2


def check(file: Path, kind: str = "config") -> int:
    """Check a configuration or settings file; print errors with their location.

    Parameters
    ----------
    file
        The file to check.
    kind
        ``config`` for a configuration, ``routes`` for a routing configuration as operators publish
        it on the platform, ``node`` for the settings of a process on the platform, or the kind of
        a settings file: router, engine, service, config-service, instances.
    """
    if kind not in _CHECKS:
        print(f"error: unknown kind {kind!r}; one of {', '.join(_CHECKS)}", file=sys.stderr)
        return _USAGE
    try:
        summary = _CHECKS[kind](file)
    except ConfigError as exc:
        print(f"error: {file}: {exc.reason}", file=sys.stderr)
        return 1
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 1
    print(f"ok: {file}: {summary}")
    return 0


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as exc:
        raise SettingsError(str(file), f"cannot read: {exc.strerror}") from exc


def _check_config(file: Path) -> str:
    cfg = parse_config(_read(file))
    return (
        f"configuration version {cfg.version}, {len(cfg.services)} services, "
        f"{len(cfg.teams)} teams"
    )


def _check_routes(file: Path) -> str:
    from turmerictray.platform.documents import decode_routing_config

    routing = decode_routing_config(_read(file))
    return (
        f"routing text version {routing.version}, {len(routing.routes)} routes, "
        f"{len(routing.services)} services, {len(routing.teams)} teams"
    )


def _check_node(file: Path) -> str:
    from turmerictray.platform.settings import build_gateway_settings, load_node_file

    settings = build_gateway_settings(load_node_file(str(file)))
    return f"settings of {settings.node} in {settings.zone}, {len(settings.seeds)} seeds"


def _check_settings(kind: str, schema: type) -> Callable[[Path], str]:
    def check_file(file: Path) -> str:
        load_settings(file, schema)
        return f"{kind} settings"

    return check_file


_CHECKS: dict[str, Callable[[Path], str]] = {
    "config": _check_config,
    "routes": _check_routes,
    "node": _check_node,
    **{
        kind: _check_settings(kind, schema)
        for kind, schema in (
            ("router", RouterSettings),
            ("engine", EngineSettings),
            ("service", ServiceSettings),
            ("config-service", ConfigServiceSettings),
            ("instances", InstanceListSettings),
        )
    },
}
