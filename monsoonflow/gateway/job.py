"""One request of a caller on its way through this node."""

from __future__ import annotations

from typing import Final

import attrs

from ..routing.budget import Headroom
from ..routing.routes import Route, Service
from ..transport.models import Request
from .event_splitter import EventSplitter
from .models import Call

LATE_RANK_PENALTY: Final = 5
"""How many ranks a request falls back at a runner once its latency objective has passed."""

MAX_RANK: Final = 9

CANCEL_BEFORE_CALLER_LEAVES_MS: Final = 700
"""So long before its caller leaves a request without a first event is given up. A runner that reads
long prompts slowly looks at its connections every 0.75 s: told at the caller's leave, it is at work
for nobody a while after. Of 294 that had waited so long on a loaded day, 172 got nothing more."""


@attrs.define(slots=True)
class Job:
    """One request of a caller on its way through this node.

    :param since_ms: when its caller began to try, as far as that can be told.
    :param until_ms: when it must be answered.
    :param fingerprint: the same for all requests that ask for the same.
    :param tried: the servers that it was sent to, in order.
    :param avoided: the servers that refused it, broke off or could not be reached.
    :param refused_ms_by_life: when a server last refused it unrun, though it holds what it needs.
    :param runs: how many tries may have run on a server.
    :param headroom: what the retry budget said last; ``None`` where it was not asked.
    :param turn_held: whether other suspected requests wait until its try has ended.
    :param retry_granted: whether the budget keeps a place for its next try.
    :param first_ms: when the first part of the answer came.
    """

    request: Request
    call: Call
    route: Route
    service: Service
    first_tried_ms: int
    answer_deadline_ms: int
    caller_deadline_ms: int
    fingerprint: str = ""
    tried_lives: list[str] = attrs.Factory(list)
    avoided_lives: list[str] = attrs.Factory(list)
    possible_runs: int = 0
    refused_ms_by_life: dict[str, int] = attrs.Factory(dict)
    retry_after_ms: int | None = None
    splitter: EventSplitter | None = None
    headroom: Headroom | None = None
    holds_turn: bool = False
    has_reserved_retry: bool = False
    first_event_ms: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether a try may have run on a server."""
        return self.possible_runs > 0

    def objective_deadline_ms(self) -> int:
        """Return until when the first event meets the route's latency objective."""
        return self.first_tried_ms + self.route.objective_ms

    def first_event_deadline_ms(self) -> int:
        """Return until when the first event must be there: then its caller leaves.

        Callers of a stream leave long before their deadline when nothing comes.
        """
        if self.route.first_event_timeout_ms is None:
            return self.answer_deadline_ms
        return min(
            self.answer_deadline_ms, self.request.arrived_ms + self.route.first_event_timeout_ms
        )

    def cancel_at_ms(self) -> int:
        """Return when the request is given up where its first event has not come by then."""
        leaves_ms = self.first_event_deadline_ms()
        if self.route.first_event_timeout_ms is None or leaves_ms >= self.answer_deadline_ms:
            return self.answer_deadline_ms
        return leaves_ms - CANCEL_BEFORE_CALLER_LEAVES_MS

    def rank_at(self, now_ms: int) -> int:
        """Return the rank at a runner, 0 first.

        Who is late already goes behind who can still be on time: in the order of arrival a backlog
        would make all of them late. Who has had a part of its answer goes first.
        """
        if self.is_resuming():
            return 0
        late = now_ms > self.objective_deadline_ms()
        return min(self.route.priority + (LATE_RANK_PENALTY if late else 0), MAX_RANK)

    def is_resuming(self) -> bool:
        """Tell whether parts of the answer have been passed on."""
        return self.splitter is not None and self.splitter.event_count > 0

    def may_run_again(self) -> bool:
        """Tell whether another server may run it, by its kind and the route's attempts."""
        return self.route.is_repeatable and self.possible_runs < self.route.max_attempts
