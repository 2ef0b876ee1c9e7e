"""Size and settings of a local fleet, and the configuration published in it."""

from dataclasses import dataclass, field


@dataclass
class FleetSpec:
    """Number and settings of the processes of a local fleet.

    Attributes
    ----------
    engines : int
        Number of emulated model engines.
    engine_slots : int
        Requests that an engine runs at the same time.
    tokens_per_s : float
        Decode rate of one engine slot.
    services : int
        Number of emulated plain services.
    routers : int
    zones : list of str
        Availability zones, assigned to routers and targets in turn.
    teams : dict of str to float
        Weight of each team.
    limits : dict
        Entries that override ``limits`` of the configuration.
    check_fencing : bool
        Whether engines refuse model orders with an outdated fencing number.
    models : list of str
        Models that the engines are to load; when empty, routers send no model orders.
    instance_lag_s, load_lag_s : float
        Age in seconds of the states in the instance list, and of the load reported by engines.
    partitionable : bool
        Whether connections among the routers, and from each router to the configuration service
        and the instance list, pass through relays, as :meth:`LocalFleet.partition` needs.
    router_threads : int
        Threads of the HTTP server of each router.
    router_settings : dict
        Entries that override the routers' settings.
    """

    engines: int = 2
    engine_slots: int = 4
    tokens_per_s: float = 200.0
    services: int = 1
    routers: int = 2
    zones: list[str] = field(default_factory=lambda: ["tema-hall", "kaneshie", "madina"])
    teams: dict[str, float] = field(default_factory=lambda: {"depot": 1.0, "riders": 1.0})
    limits: dict = field(default_factory=dict)
    check_fencing: bool = True
    models: list[str] = field(default_factory=list)
    instance_lag_s: float = 0.5
    load_lag_s: float = 0.3
    partitionable: bool = False
    router_threads: int = 256
    router_settings: dict = field(default_factory=dict)

    def zone(self, idx: int) -> str:
        """Return the zone of the router or target with index ``idx`` among its kind."""
        return self.zones[idx % len(self.zones)]

    def build_config(self, engine_urls: dict[str, str], service_urls: dict[str, str]) -> dict:
        """Build the configuration as an object that can be encoded as JSON.

        Parameters
        ----------
        engine_urls, service_urls : dict of str to str
            Base URL of each target, by target id.
        """
        services = [
            {
                "name": "llm",
                "kind": "model",
                "models": ["stand-in"],
                "targets": [
                    self._engine(idx, engine_id, url)
                    for idx, (engine_id, url) in enumerate(engine_urls.items())
                ],
            }
        ]
        if service_urls:
            services.append(
                {
                    "name": "orders",
                    "kind": "plain",
                    "idempotent": False,
                    "depends_on": ["llm"],
                    "targets": [
                        {"id": service_id, "url": url, "zone": self.zone(idx), "slots": 16}
                        for idx, (service_id, url) in enumerate(service_urls.items())
                    ],
                }
            )
        return {
            "version": 1,
            "services": services,
            "teams": [{"id": team, "weight": weight} for team, weight in self.teams.items()],
            "limits": {"queue_timeout_s": 30.0, "retry_after_s": 1.0, **self.limits},
        }

    def _engine(self, idx: int, engine_id: str, url: str) -> dict:
        return {
            "id": engine_id,
            "url": url,
            "zone": self.zone(idx),
            "slots": self.engine_slots,
            "fencing": self.check_fencing,
            "models": self.models,
        }
