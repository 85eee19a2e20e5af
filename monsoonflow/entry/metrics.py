"""The metrics of an entry node; no label has a value for each adapter, server or caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from ..transport.models import Request
from ..transport.reply import Reply

METRICS_PATH: Final = b"/metrics"
REQUEST_BUCKETS_S: Final = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.75,
    1.0,
    1.5,
    2.0,
    4.0,
    8.0,
    16.0,
)
ORDER_BUCKETS_S: Final = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
METRIC_PREFIX: Final = "monsoonflow_entry_"
MAX_PRIORITY_LABELS: Final = 10
"""Priorities that are counted one by one; the value is from a peer's message."""


class EntryMetrics:
    """The metrics of one entry node, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests",
            "Requests by kind of route, priority and how they ended.",
            "kind",
            "priority",
            "outcome",
        )
        self.objectives = self._counter(
            "objectives",
            "Requests by kind of route, priority and latency objective.",
            "kind",
            "priority",
            "result",
        )
        self.first_answer = self._histogram(
            "first_answer_seconds",
            "Arrival to the first byte of an answer.",
            REQUEST_BUCKETS_S,
            "kind",
        )
        self.whole_answer = self._histogram(
            "whole_answer_seconds", "Arrival to the end of an answer.", REQUEST_BUCKETS_S, "kind"
        )
        self.slot_wait = self._histogram(
            "place_wait_seconds", "Wait for a place for an adapter.", REQUEST_BUCKETS_S, "result"
        )
        self.orders = self._counter(
            "orders", "Orders to runners by what and how they were answered.", "operation", "answer"
        )
        self.order_time = self._histogram(
            "order_seconds", "Time of an order's answer.", ORDER_BUCKETS_S
        )
        self.attempts = self._counter("tries", "Tries of requests at servers by result.", "result")
        self.forwarded = self._counter(
            "forwarded",
            "Requests forwarded to peers that reach their servers, by result.",
            "result",
        )
        self.unauthorized = self._counter(
            "unauthorized", "Requests refused for their API key.", "reason"
        )
        self.over_quota = self._counter(
            "over_quota", "Requests refused since their customer's quota is used up."
        )
        self.memory_decisions = self._counter(
            "memory_decisions",
            "Decisions for want of KV cache at runners: too_large, left_out (another runner has"
            " room), no_room, and requests with slots_full at the lease holder.",
            "result",
        )
        self.retries = self._counter(
            "retries",
            "Further tries wanted, by whether the budget allowed them.",
            "allowed",
        )
        self.resumes = self._counter("resumes", "Streams that went on at another server.")
        self.stream_versions = self._counter(
            "stream_versions",
            "Streams taken up again, by where the software version that began them was found.",
            "found",
        )
        self.slot_refusals = self._counter(
            "slot_refusals",
            "Slot requests refused by the lease holder, by reason, priority and rank of the "
            "customer in usage.",
            "reason",
            "priority",
            "customer_rank",
        )
        self.slot_drains = self._counter(
            "slot_drains", "Slots chosen to be freed for customers below their share."
        )
        self.log_lines_dropped = self._counter("log_lines_dropped", "Log lines never written.")

    def count_request(
        self,
        kind: str,
        priority: int,
        outcome: str,
        objective: str,
        first_ms: int | None,
        took_ms: int,
    ) -> None:
        """Count a finished request."""
        self.requests.labels(kind, str(priority), outcome).inc()
        self.objectives.labels(kind, str(priority), objective).inc()
        if first_ms is not None:
            self.first_answer.labels(kind).observe(first_ms / 1000)
            self.whole_answer.labels(kind).observe(took_ms / 1000)

    def count_memory_decision(self, result: str) -> None:
        """Count a decision by the memory of runners."""
        self.memory_decisions.labels(result).inc()

    def count_attempt(self, result: str) -> None:
        """Count an attempt at a server."""
        self.attempts.labels(result).inc()

    def count_forwarded(self, result: str) -> None:
        """Count a request that was forwarded to a peer."""
        self.forwarded.labels(result).inc()

    def count_unauthorized(self, reason: str) -> None:
        """Count a request that was refused for its key."""
        self.unauthorized.labels(reason).inc()

    def count_over_quota(self) -> None:
        """Count a request that was refused since its customer's quota is used up."""
        self.over_quota.inc()

    def count_retry(self, allowed: bool) -> None:
        """Count a wanted retry."""
        self.retries.labels("yes" if allowed else "no").inc()

    def count_resume(self) -> None:
        """Count a stream that is resumed at another server."""
        self.resumes.inc()

    def count_stream_version(self, found: str) -> None:
        """Count a stream whose software version was looked up."""
        self.stream_versions.labels(found).inc()

    def count_slot_refusal(self, reason: str, priority: int, customer_rank: str) -> None:
        """Count a slot request that the lease holder refused."""
        label = str(priority) if -1 <= priority < MAX_PRIORITY_LABELS else "other"
        self.slot_refusals.labels(reason, label, customer_rank).inc()

    def count_slot_drain(self) -> None:
        """Count a slot that was chosen for draining."""
        self.slot_drains.inc()

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read whenever the metrics are requested."""
        Gauge(METRIC_PREFIX + name, help_text, registry=self.registry).set_function(read)

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer with all metrics as text."""
        if request.target.partition(b"?")[0] != METRICS_PATH:
            reply.send_whole(404, [])
            return
        headers = [(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")]
        reply.send_whole(200, headers, generate_latest(self.registry))

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(METRIC_PREFIX + name, help_text, labels, registry=self.registry)

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            METRIC_PREFIX + name, help_text, labels, buckets=buckets, registry=self.registry
        )
