"""Data classes for choosing the runner of a request."""

from __future__ import annotations

import attrs


@attrs.define(slots=True)
class RunnerView:
    """State of a runner as known to the node that routes a request; exact only at its owner.

    :param queued: number of waiting requests in the runner's last report.
    :param sent_since_report: number of requests sent to the runner since that report.
    :param resident: short hashes of the adapters that are loaded or being loaded.
    :param ready: number of waiting requests whose adapter is loaded.
    :param stall_total_ms: sum of recent load stalls; divided by ``stall_weight``, their mean.
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
    """Settings for choosing the runner of a request.

    :param load_cost: cost of a load, in full batches of backlog.
    :param replica_backlog: backlog per replica, in full batches, beyond which an adapter in high
        demand gets another replica.
    :param max_replicas: maximum number of runners over which an adapter is spread.
    """

    load_cost: float = 2.0
    replica_backlog: float = 1.5
    max_replicas: int = 4
