"""What a local fleet consists of, and the configuration text for it."""

from dataclasses import dataclass, field


@dataclass
class FleetSpec:
    """What to start.

    Attributes
    ----------
    engines : int
        Model engine stand-ins.
    engine_slots : int
    tokens_per_s : float
        Decode rate of one engine slot.
    services : int
        Plain service stand-ins.
    routers : int
    zones : list of str
        Zones, given to routers and targets in turn.
    teams : dict of str to float
        Team to weight.
    limits : dict
        Overrides of the configuration's ``limits``.
    check_fencing : bool
    models : list of str
        What the engines are to load; none means that the routers give no orders.
    instance_lag_s : float
    cuttable : bool
        Put relays between the routers and between each router and the platform, so that
        :meth:`LocalFleet.cut` can cut them off from each other.
    router_threads : int
        Threads of each router's front.
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
    cuttable: bool = False
    router_threads: int = 256

    def zone(self, idx: int) -> str:
        """The zone of the router or target numbered ``idx`` of its kind."""
        return self.zones[idx % len(self.zones)]

    def config_text(self, engine_urls: dict[str, str], service_urls: dict[str, str]) -> dict:
        """The configuration text, as a JSON-ready object.

        Parameters
        ----------
        engine_urls, service_urls : dict of str to str
            Base URL by target id.
        """
        services = [
            {
                "name": "llm",
                "kind": "model",
                "models": ["stand-in"],
                "targets": [
                    self._engine(idx, eid, url)
                    for idx, (eid, url) in enumerate(engine_urls.items())
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
                        {"id": sid, "url": url, "zone": self.zone(idx), "slots": 16}
                        for idx, (sid, url) in enumerate(service_urls.items())
                    ],
                }
            )
        return {
            "version": 1,
            "services": services,
            "teams": [{"id": team, "weight": weight} for team, weight in self.teams.items()],
            "limits": {"queue_timeout_s": 30.0, "retry_after_s": 1.0, **self.limits},
        }

    def _engine(self, idx: int, eid: str, url: str) -> dict:
        return {
            "id": eid,
            "url": url,
            "zone": self.zone(idx),
            "slots": self.engine_slots,
            "fencing": self.check_fencing,
            "models": self.models,
        }
