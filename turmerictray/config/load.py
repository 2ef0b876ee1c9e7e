"""Decoding and validation of configurations and of settings files.

Every error names the field (as a JSON path such as ``$.services[1].targets[0].url``) and the
reason. A rejected configuration does not affect the active one.
"""

from graphlib import CycleError, TopologicalSorter
from pathlib import Path
from typing import TypeVar

import urllib3

from turmerictray.config.schema import Config, ServiceKind
from turmerictray.core.decoding import DecodingError, decode_json
from turmerictray.core.errors import ConfigError, SettingsError

T = TypeVar("T")

MAX_CONFIG_BYTES = 1 << 20
"""The platform stores values of up to 1 MiB."""


def parse_config(text: bytes | str) -> Config:
    """Decode and validate a configuration.

    Parameters
    ----------
    text : bytes or str
        The configuration as JSON, at most 1 MiB.

    Returns
    -------
    Config

    Raises
    ------
    ConfigError
        If the text is too long, is not JSON, does not match the schema, or is inconsistent.
    """
    raw = text.encode() if isinstance(text, str) else text
    if len(raw) > MAX_CONFIG_BYTES:
        raise ConfigError(f"text is {len(raw)} bytes, over the 1 MiB limit")
    try:
        cfg = decode_json(raw, Config)
    except DecodingError as exc:
        raise ConfigError(_reason(exc), _version_of_invalid(raw)) from exc
    _check_consistency(cfg)
    return cfg


def _version_of_invalid(raw: bytes) -> int | None:
    try:
        doc = decode_json(raw)
    except DecodingError:
        return None
    version = doc.get("version") if isinstance(doc, dict) else None
    return version if isinstance(version, int) else None


def _duplicates(names: list[str]) -> list[str]:
    seen: set[str] = set()
    return sorted({name for name in names if name in seen or seen.add(name)})


def _dependency_cycle(depends_on: dict[str, list[str]]) -> tuple[str, ...]:
    try:
        TopologicalSorter(depends_on).prepare()
    except CycleError as exc:
        return tuple(exc.args[1])
    return ()


def _check_consistency(cfg: Config) -> None:
    fail = _make_fail(cfg.version)
    svc_names = [svc.name for svc in cfg.services]
    for name in _duplicates(svc_names):
        fail(f"service name {name!r} is used twice - at `$.services`")
    target_ids = [tgt.id for svc in cfg.services for tgt in svc.targets]
    for name in _duplicates(target_ids):
        fail(f"target id {name!r} is used twice - at `$.services[*].targets`")
    for idx, svc in enumerate(cfg.services):
        for dep in svc.depends_on:
            if dep not in svc_names:
                fail(f"depends on unknown service {dep!r} - at `$.services[{idx}].depends_on`")
        if svc.kind is ServiceKind.PLAIN and any(tgt.models for tgt in svc.targets):
            fail(f"only engines load models - at `$.services[{idx}].targets[*].models`")
        for number, tgt in enumerate(svc.targets):
            if not _names_a_port(tgt.url):
                fail(f"{tgt.url!r} names no port - at `$.services[{idx}].targets[{number}].url`")
        if not svc.targets:
            fail(f"service has no targets - at `$.services[{idx}].targets`")
    cycle = _dependency_cycle({svc.name: svc.depends_on for svc in cfg.services})
    if cycle:
        fail(f"services depend on each other: {' -> '.join(cycle)} - at `$.services`")
    team_ids = [team.id for team in cfg.teams]
    for name in _duplicates(team_ids):
        fail(f"team id {name!r} is used twice - at `$.teams`")
    keys = [key for team in cfg.teams for key in team.api_keys]
    if _duplicates(keys):
        fail("an API key is given to two teams - at `$.teams[*].api_keys`")
    if cfg.default_team is not None and cfg.default_team not in team_ids:
        fail(f"default team {cfg.default_team!r} is not a team - at `$.default_team`")


def _names_a_port(url: str) -> bool:
    """Return whether a URL has a host, and a port in range or none."""
    try:
        parsed = urllib3.util.parse_url(url)
    except urllib3.exceptions.LocationParseError:
        return False
    return bool(parsed.host) and parsed.port != 0


def _make_fail(version: int):
    def fail(reason: str) -> None:
        raise ConfigError(reason, version)

    return fail


def load_settings(path: str | Path, kind: type[T]) -> T:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        A JSON file.
    kind : type
        The ``msgspec.Struct`` type that the file must match.

    Returns
    -------
    kind
        The decoded settings.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not JSON, or does not match ``kind``; the message names
        the file, the field and the reason.
    """
    source = str(path)
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(source, f"cannot read: {exc.strerror}") from exc
    return decode_settings(raw, kind, source)


def decode_settings(raw: bytes, kind: type[T], source: str = "<settings>") -> T:
    """Decode settings from JSON bytes; see :func:`load_settings`."""
    try:
        return decode_json(raw, kind)
    except DecodingError as exc:
        raise SettingsError(source, _reason(exc)) from exc


def _reason(exc: DecodingError) -> str:
    return str(exc) if exc.is_valid_syntax else f"not JSON: {exc}"
