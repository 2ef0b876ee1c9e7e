"""Entry point of a stand-in process: an HTTP server that runs until SIGTERM."""

import sys
from pathlib import Path

from turmerictray.config.load import load_settings
from turmerictray.config.settings import (
    ConfigServiceSettings,
    EngineSettings,
    InstanceListSettings,
    ServiceSettings,
)
from turmerictray.core.app import Application
from turmerictray.core.errors import SettingsError
from turmerictray.core.logs import setup_logging
from turmerictray.router.server import HttpServer

_HTTP_THREADS = 128
KINDS = ("engine", "service", "config", "instances")


class _StopOnly:
    """Adapter that lets the application stop an object that needs no start."""

    def __init__(self, obj) -> None:
        self.obj = obj

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        self.obj.stop()


def _build(kind: str, path: str):
    if kind == "engine":
        from turmerictray.standins.engine import Engine

        cfg = load_settings(path, EngineSettings)
        return cfg, Engine(cfg), cfg.id
    if kind == "service":
        from turmerictray.standins.service import PlainService

        cfg = load_settings(path, ServiceSettings)
        return cfg, PlainService(cfg), cfg.id
    if kind == "config":
        from turmerictray.standins.configsvc import ConfigService

        cfg = load_settings(path, ConfigServiceSettings)
        try:
            initial = Path(cfg.initial).read_bytes()
        except OSError as exc:
            raise SettingsError(path, f"cannot read `$.initial` {cfg.initial}: {exc}") from exc
        return cfg, ConfigService(cfg, initial), "config"
    if kind == "instances":
        from turmerictray.standins.instances import InstanceListService

        cfg = load_settings(path, InstanceListSettings)
        return cfg, InstanceListService(cfg), "instances"
    raise SettingsError(path, f"unknown stand-in kind {kind!r}; one of {', '.join(KINDS)}")


def run_standin(kind: str, settings_path: str) -> int:
    """Run a stand-in until SIGTERM and return its exit code (2 for invalid settings)."""
    try:
        cfg, handlers, name = _build(kind, settings_path)
    except SettingsError as exc:
        print(f"error: {exc}", file=sys.stderr)
        return 2
    setup_logging(kind, name, getattr(cfg, "zone", "-"), cfg.log_file)
    app = Application(f"{kind}:{name}")
    if hasattr(handlers, "stop"):
        app.add(_StopOnly(handlers))
    app.add(HttpServer(cfg.listen.host, cfg.listen.port, handlers.app, _HTTP_THREADS, name))
    return app.run()
