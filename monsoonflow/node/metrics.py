"""The node's metrics; no label takes more values than the configuration has runners or classes."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_FIRST_CHUNK_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1, 2.5, 5, 10, 30)


class Metrics:
    """Holds one node's metrics in a registry of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "monsoonflow_requests_total",
            "Requests by outcome and class.",
            ["outcome", "priority"],
            registry=self.registry,
        )
        self.first_chunk = Histogram(
            "monsoonflow_first_chunk_seconds",
            "Time from admission to the first chunk.",
            ["priority"],
            buckets=_FIRST_CHUNK_BUCKETS,
            registry=self.registry,
        )
        self.load_stall = Counter(
            "monsoonflow_load_stall_seconds_total",
            "Time that requests waited for an adapter to load.",
            ["runner"],
            registry=self.registry,
        )
        self.loads = Counter(
            "monsoonflow_loads_total",
            "Adapter loads by result.",
            ["runner", "result"],
            registry=self.registry,
        )
        self.chunks = Counter(
            "monsoonflow_chunks_total", "Chunks passed to callers.", registry=self.registry
        )
        self.resumes = Counter(
            "monsoonflow_resumes_total", "Runs resumed after a cut.", registry=self.registry
        )
        self.retries = Counter(
            "monsoonflow_retries_total", "Requests offered again.", registry=self.registry
        )
        self.queued = Gauge(
            "monsoonflow_queued_requests",
            "Requests waiting at the runners of this node.",
            registry=self.registry,
        )
        self.owned = Gauge(
            "monsoonflow_owned_runners", "Runners that this node owns.", registry=self.registry
        )
        self.config_version = Gauge(
            "monsoonflow_config_version", "Configuration version in force.", registry=self.registry
        )
        self.lease_held = Gauge(
            "monsoonflow_lease_held", "Whether this node's lease is held.", registry=self.registry
        )
