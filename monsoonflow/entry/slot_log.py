"""Logs and counts the refusals of slot requests and the slots that drain, with their inputs."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from typing import Final

import attrs

from ..core.clock import Clock
from ..logs import events, log
from ..placement.fair_share import FairShares
from ..placement.request_queue import NoSlot, QueuedRequest
from ..placement.slot_draining import Drain
from ..placement.usage_reports import MAX_CUSTOMER_NAME
from .metrics import EntryMetrics

_LOGGER = logging.getLogger(__name__)

MAX_RANKS: Final = 8
"""Customers that are counted by their rank in usage; the others are counted together."""

RETRY_SPREAD: Final = 0.25
"""Callers that are refused together are told times that differ by up to this share."""


class SlotLog:
    """Logs and counts what the lease holder decides against a request or a slot."""

    def __init__(self, fair_shares: FairShares, metrics: EntryMetrics, clock: Clock) -> None:
        self._fair_shares = fair_shares
        self._metrics = metrics
        self._clock = clock
        self._rng = random.Random()

    def record_refusal(
        self, cell: str, request_id: object, request: QueuedRequest, refusal: NoSlot, began_ms: int
    ) -> NoSlot:
        """Log and count a refusal; return it with the time to retry that its caller is told.

        :param request_id: as named by the node that asked.
        :param began_ms: when the slot request arrived.
        """
        now_ms = self._clock.now_ms()
        if request.customer is not None:
            spread = 1 + RETRY_SPREAD * self._rng.random()
            refusal = NoSlot(int(refusal.retry_after_ms * spread), refusal.reason, refusal.forecast)
        forecast = refusal.forecast
        shares = self._fair_shares
        self._metrics.count_slot_refusal(
            refusal.reason, request.priority, self._rank_label(request.customer)
        )
        log(
            _LOGGER,
            events.SlotRefused(
                request=_text(request_id),
                cell=cell,
                adapter=request.adapter_name,
                cause=refusal.reason,
                customer=request.customer,
                priority=request.priority,
                level=request.level,
                late=request.is_late(now_ms),
                waited_ms=now_ms - began_ms,
                tried_ms=request.tried_ms,
                retry_after_ms=refusal.retry_after_ms,
                ahead=forecast.adapters_ahead if forecast is not None else None,
                idle=forecast.idle_slots if forecast is not None else None,
                per_s=round(forecast.rate_per_s, 2) if forecast is not None else None,
                in_use=round(shares.usage_of(request.customer), 2),
                usage_age_ms=self._usage_age_ms(now_ms),
            ),
        )
        return refusal

    def record_drains(self, cell: str, drains: Iterable[Drain]) -> None:
        """Log and count the slots that were chosen for draining."""
        for drain in drains:
            self._metrics.count_slot_drain()
            now_ms = self._clock.now_ms()
            log(
                _LOGGER,
                events.SlotDrains(
                    cell=cell,
                    server=drain.life,
                    usage_age_ms=self._usage_age_ms(now_ms),
                    **attrs.asdict(drain, filter=lambda field, _value: field.name != "life"),
                ),
            )

    def _usage_age_ms(self, now_ms: int) -> int | None:
        reported_ms = self._fair_shares.reported_ms
        return None if reported_ms is None else now_ms - reported_ms

    def _rank_label(self, customer: str | None) -> str:
        if customer is None:
            return "none"
        rank = self._fair_shares.rank_of(customer)
        return str(rank) if rank < MAX_RANKS else "other"


def _text(value: object) -> str | None:
    return value[:MAX_CUSTOMER_NAME] if isinstance(value, str) else None
