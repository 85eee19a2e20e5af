"""Tells what waits at each model runner, from all nodes, and how long it takes to be read."""

from __future__ import annotations

import attrs

from ..core.server_life import ServerLife
from ..fleet.view import FleetView
from ..routing.in_flight import InFlight, ServerWork
from ..routing.reading import ReadingPace
from .models import Chosen, QueueAhead


@attrs.define(slots=True)
class Backlog:
    """The queues at the runners, as this node knows them."""

    in_flight: InFlight
    view: FleetView
    pace: ReadingPace = attrs.Factory(ReadingPace)

    def work_at(self, life: ServerLife, now_ms: int) -> ServerWork:
        """Return what all nodes have in progress at a runner."""
        total = self.view.work_at(life, now_ms)
        total.add(self.in_flight.at(life))
        return total

    def ahead(self, life: ServerLife, prompt_tokens: int, now_ms: int) -> QueueAhead:
        """Return what a request would wait for at a runner."""
        unread = self.work_at(life, now_ms).unread_tokens
        expect_ms = self.pace.expect_ms(life, unread + prompt_tokens, now_ms)
        return QueueAhead(unread, expect_ms)

    def first_event(self, chosen: Chosen, took_ms: int, now_ms: int) -> None:
        """Take how long a request waited for its first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.unread_tokens + chosen.unread_tokens
            self.pace.observed(chosen.life, tokens, chosen.unread_tokens, took_ms, now_ms)

    def no_first_event(self, chosen: Chosen, waited_ms: int, now_ms: int) -> None:
        """Take that a request waited in vain for its first event."""
        if chosen.queue is not None:
            tokens = chosen.queue.unread_tokens + chosen.unread_tokens
            self.pace.unread(chosen.life, tokens, chosen.unread_tokens, waited_ms, now_ms)
