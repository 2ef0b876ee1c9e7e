"""Prometheus metrics of the router; each process has one registry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

REGISTRY = CollectorRegistry()

REQUESTS = Counter(
    "turmerictray_requests_total", "Requests by outcome.", ["team", "outcome"], registry=REGISTRY
)
TOKENS = Counter(
    "turmerictray_tokens_total", "Tokens of finished requests.", ["team"], registry=REGISTRY
)
PROMPT_TOKENS = Counter(
    "turmerictray_prompt_tokens_total",
    "Prompt tokens asked for, by team and by whether an answer began.",
    ["team", "begun"],
    registry=REGISTRY,
)
QUEUED = Gauge("turmerictray_queued", "Requests waiting for a slot.", registry=REGISTRY)
INFLIGHT = Gauge("turmerictray_inflight", "Requests sent and not ended.", registry=REGISTRY)
POOL_THROUGHPUT = Gauge(
    "turmerictray_pool_pace",
    "Prompt tokens a second by which waits are estimated, by service and shard.",
    ["service", "shard"],
    registry=REGISTRY,
)
ENGINES_IDLE = Gauge(
    "turmerictray_engines_idle",
    "Engines with nothing to read, by service and shard.",
    ["service", "shard"],
    registry=REGISTRY,
)
EVACUATED_ZONES = Gauge(
    "turmerictray_evacuated_zones",
    "Availability zones to whose targets nothing is sent.",
    registry=REGISTRY,
)
RESTING_TARGETS = Gauge(
    "turmerictray_resting_targets",
    "Targets that have turned this router away and asked it to rest.",
    registry=REGISTRY,
)
QUARANTINED = Gauge(
    "turmerictray_quarantined",
    "Requests that are sent to no target, as targets ended under them.",
    registry=REGISTRY,
)
HELD_PARTS = Gauge(
    "turmerictray_held_parts",
    "Prompt parts that are sent to no target, as targets ended under them.",
    registry=REGISTRY,
)
STREAMS_TAKEN_UP = Counter(
    "turmerictray_streams_taken_up_total",
    "Requests that take up a stream, by how the version that began it is known.",
    ["version_known_by"],
    registry=REGISTRY,
)
CONTROL_BYTES = Counter(
    "turmerictray_control_bytes_total",
    "Bytes of control traffic (peer link, claims, configuration, instance list, load reports).",
    ["channel", "direction"],
    registry=REGISTRY,
)
QUEUE_WAIT = Histogram(
    "turmerictray_queue_wait_seconds",
    "Time from admission to grant.",
    buckets=(0.001, 0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10, 30),
    registry=REGISTRY,
)
REQUEST_TIME = Histogram(
    "turmerictray_request_seconds",
    "Time from a request's head to its final answer, by outcome.",
    ["outcome"],
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30),
    registry=REGISTRY,
)
FIRST_ANSWER_TIME = Histogram(
    "turmerictray_first_answer_seconds",
    "Time from a request's head to the first byte of its answer, by service.",
    ["service"],
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 0.8, 1.2, 2, 5, 10),
    registry=REGISTRY,
)
PEER_SILENCE = Gauge(
    "turmerictray_peer_silence_seconds",
    "Time since the last heartbeat of a peer, or since the start if none was received.",
    ["peer"],
    registry=REGISTRY,
)
HEARTBEATS = Counter(
    "turmerictray_heartbeats_total",
    "Heartbeats by whether they were sent, or why not: late_tick or no_report.",
    ["outcome"],
    registry=REGISTRY,
)
UNEXPECTED_EXCEPTIONS = Counter(
    "turmerictray_unexpected_exceptions_total",
    "Exceptions that no code expected, by actor or thread.",
    ["part"],
    registry=REGISTRY,
)
CLAIMS = Counter(
    "turmerictray_claims_total",
    "Claims on keys of non-idempotent requests, by verdict.",
    ["verdict"],
    registry=REGISTRY,
)
CLAIMS_KEPT = Gauge(
    "turmerictray_claims_kept", "Claims this router remembers as a home.", registry=REGISTRY
)
STORE_STATE_AGE = Gauge(
    "turmerictray_store_state_age_seconds",
    "Age of the store's newest state that this router is known to have.",
    registry=REGISTRY,
)
READS_STORE = Gauge(
    "turmerictray_reads_store", "Whether this router reads the store: 1 or 0.", registry=REGISTRY
)
PEER_FETCHED_AT = Gauge(
    "turmerictray_peer_fetched_timestamp_seconds",
    "Unix time of the last successful fetch of documents from a peer; 0 for none.",
    registry=REGISTRY,
)
MESSAGE_WAIT = Histogram(
    "turmerictray_message_wait_seconds",
    "Time from the arrival of a peer's message until an actor handles it.",
    ["actor"],
    buckets=(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10),
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "turmerictray_config_version", "Configuration version in force.", registry=REGISTRY
)


def count_prompt_tokens(team: str, tokens: int, begun: bool) -> None:
    """Count the prompt tokens of a request that has its final answer."""
    PROMPT_TOKENS.labels(team, "yes" if begun else "no").inc(tokens)


def count_control_bytes(channel: str, sent: int, received: int) -> None:
    """Count the control traffic of one exchange, in bytes."""
    if sent:
        CONTROL_BYTES.labels(channel, "tx").inc(sent)
    if received:
        CONTROL_BYTES.labels(channel, "rx").inc(received)
