"""Data of placement decisions."""

from __future__ import annotations

import attrs


@attrs.define(slots=True)
class RunnerView:
    """What is known of a runner when a request is routed; exact only at its owner.

    :param queued: waiting requests as last reported.
    :param sent_since: requests sent there since that report.
    :param resident: the short hashes of the adapters in place or on their way.
    :param ready: waiting requests whose adapter is in place.
    :param stall_total_ms: load stalls of late, summed; with ``stall_weight``, their mean.
    """

    runner_id: str
    base_model: str
    slots: int = 1
    max_batch: int = 1
    queued: int = 0
    running: int = 0
    sent_since_report: int = 0
    ready: int = 0
    stall_total_ms: float = 0.0
    stall_weight: float = 0.0
    oldest_wait_ms: int = 0
    resident: frozenset[int] = frozenset()
    takes_new_work: bool = True

    def backlog(self) -> float:
        """Return the expected work ahead of a new request, in full batches."""
        return (self.queued + self.running + self.sent_since_report) / max(1, self.max_batch)


@attrs.frozen(slots=True)
class PlacementTuning:
    """Settings of runner choice.

    :param load_cost: what a load counts, in full batches of backlog.
    :param replica_backlog: backlog per replica from which a hot adapter gets another.
    :param max_replicas: the most runners an adapter is spread over.
    """

    load_cost: float = 2.0
    replica_backlog: float = 1.5
    max_replicas: int = 4
