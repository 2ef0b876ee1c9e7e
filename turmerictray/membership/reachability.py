"""Tells peers that are down or partitioned from peers that are alive but silent."""

import socket
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

_CONNECT_TIMEOUT_S = 0.5
"""A connection within a region takes a few milliseconds; this covers one lost packet."""

_MAX_PROBES = 8
"""Number of peers that are probed at the same time."""


class Reachability(Enum):
    """What a connection attempt tells of a peer.

    ``ACCEPTS``: its operating system completes connections, so its process exists, though it may
    be frozen. ``REFUSES``: no process listens. ``UNREACHABLE``: no answer, as from a machine that
    is down or behind a network partition.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    UNREACHABLE = "unreachable"


def probe(address: str) -> Reachability:
    """Try to connect to ``address``, ``tcp://host:port``, and close the connection at once."""
    host, _, port = address.removeprefix("tcp://").rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=_CONNECT_TIMEOUT_S):
            return Reachability.ACCEPTS
    except ConnectionRefusedError:
        return Reachability.REFUSES
    except OSError:
        return Reachability.UNREACHABLE


def probe_all(addresses: Mapping[str, str]) -> dict[str, Reachability]:
    """Probe several peers at the same time.

    Parameters
    ----------
    addresses : dict of str to str
        ``tcp://host:port`` by the peer's name.
    """
    if not addresses:
        return {}
    with ThreadPoolExecutor(min(_MAX_PROBES, len(addresses))) as pool:
        return dict(zip(addresses, pool.map(probe, addresses.values()), strict=True))


class HeardPeers:
    """Records which of the expected peers were heard lately.

    Parameters
    ----------
    addresses : dict of str to str
        ``tcp://host:port`` of each expected peer, by its name.
    silence_s : float
        Time without a message after which a peer is silent, in seconds.
    """

    def __init__(self, addresses: Mapping[str, str], silence_s: float) -> None:
        self._addresses = dict(addresses)
        self._silence_s = silence_s
        self._heard_at: dict[str, float] = {}

    def record(self, peer: str, now: float) -> None:
        """Record a message from a peer."""
        self._heard_at[peer] = now

    def silent(self, now: float) -> dict[str, str]:
        """Return the addresses of the peers that are silent, by name."""
        return {
            peer: address
            for peer, address in self._addresses.items()
            if peer not in self._heard_at or now - self._heard_at[peer] > self._silence_s
        }
