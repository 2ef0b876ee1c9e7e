"""Availability zones that operators have evacuated, as published by the platform."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from turmerictray.core.ids import ZoneId
from turmerictray.router.published import StorePosition, ZoneState


@dataclass(frozen=True)
class ZoneChange:
    """A zone was evacuated or, if ``evacuated`` is false, taken back."""

    zone: ZoneId
    evacuated: bool
    position: StorePosition


class Evacuations:
    """The newest known state of each zone, merged from the store and from peers.

    The owner's thread passes in what it reads; the state has no thread of its own.

    Attributes
    ----------
    position : StorePosition
        Position of the newest change; revision 0 if there is none.

    Notes
    -----
    Changes are ordered zone by zone, so that it does not matter from where and in which order they
    arrive. A zone that was taken back is remembered, so that a peer with an older state does not
    evacuate it again.

    A store that was restored from a backup may lack the newest evacuations. Zones stay evacuated
    until the store reports a later change of the zone.
    """

    def __init__(self) -> None:
        self.position = StorePosition()
        self._zones: dict[ZoneId, ZoneState] = {}
        self._listed_at = StorePosition()

    def evacuated_zones(self) -> frozenset[ZoneId]:
        """Return the zones that are evacuated."""
        return frozenset(zone for zone, state in self._zones.items() if state.evacuated)

    def published(self) -> dict[ZoneId, ZoneState]:
        """Return the state of each zone that was ever evacuated, for peers."""
        return dict(self._zones)

    def apply_changes(self, changes: Collection[ZoneChange]) -> None:
        """Apply changes that the store has reported; older ones than known are ignored."""
        for change in changes:
            self._update(change.zone, change.evacuated, change.position)

    def apply_listing(self, listed: Collection[ZoneChange], position: StorePosition) -> None:
        """Apply the store's list of all evacuated zones.

        Parameters
        ----------
        listed : collection of ZoneChange
        position : StorePosition
            Position of the list. Zones that it lacks were taken back before.
        """
        self._listed_at = max(self._listed_at, position)
        self.apply_changes(listed)
        listed_zones = {change.zone for change in listed}
        for zone, state in list(self._zones.items()):
            if zone not in listed_zones and self._is_superseded(state):
                self._update(zone, False, position)

    def merge(self, peer_zones: Mapping[str, ZoneState]) -> None:
        """Apply the states that a peer knows; older ones than known are ignored."""
        for name, state in peer_zones.items():
            zone = ZoneId(name)
            if zone not in self._zones and self._is_superseded(state):
                # The store's list, which is newer, lacks the zone. Peers learn it from this state.
                self._update(zone, False, self._listed_at)
            else:
                self._update(zone, state.evacuated, state.position)

    def _is_superseded(self, state: ZoneState) -> bool:
        """Whether the last list of the same era shows that an evacuation has ended."""
        listed_at = self._listed_at
        return state.evacuated and state.era == listed_at.era and state.position < listed_at

    def _update(self, zone: ZoneId, evacuated: bool, position: StorePosition) -> None:
        known = self._zones.get(zone)
        if known is not None and position <= known.position:
            return
        self._zones[zone] = ZoneState(evacuated, position.revision, position.era)
        self.position = max(self.position, position)
