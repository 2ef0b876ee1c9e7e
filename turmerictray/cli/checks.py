"""The ``config check`` command: texts and settings are checked as the programs read them."""

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
    """Check a configuration text or a settings file; print what is wrong and where.

    Parameters
    ----------
    file
        The file to check.
    kind
        ``config`` for a configuration text, ``routes`` for a routing text as operators publish it
        on the users' platform, ``node`` for a process's settings there, or a settings kind:
        router, engine, service, config-service, instances.
    """
    if kind not in _KINDS:
        print(f"error: unknown kind {kind!r}; one of {', '.join(_KINDS)}", file=sys.stderr)
        return _USAGE
    try:
        found = _KINDS[kind](file)
    except ConfigError as exc:
        print(f"error: {file}: {exc.reason}", file=sys.stderr)
        return 1
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 1
    print(f"ok: {file}: {found}")
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

    text = decode_routing_config(_read(file))
    return (
        f"routing text version {text.version}, {len(text.routes)} routes, "
        f"{len(text.services)} services, {len(text.teams)} teams"
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


_KINDS: dict[str, Callable[[Path], str]] = {
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
