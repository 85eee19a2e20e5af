"""Ends the waits of requests in a process that stops, so that each gets an answer.

A request's own time may be longer than that of the process. What can't be answered before the end
is refused while other nodes can still serve it; what can be is still served.
"""

from __future__ import annotations

from typing import Final

import gevent

from ..core.clock import Clock
from ..routing.answer_times import AnswerTimes
from ..routing.routes import Route
from .active_requests import ActiveRequest, ActiveRequests

REFUSAL_MS: Final = 200
"""How long before the end of the process the last answers are written."""


class NodeStopping(BaseException):
    """Raised in the handler of a request that can't be answered before the end of the process.

    Derives from :class:`BaseException` like the caller's departure, so that no wait catches it.
    """


class StopDeadline:
    """The last moments at which a stopping process can send and answer requests.

    :ivar end_ms: when the last answers must have been written; ``None`` unless the process stops.
    """

    def __init__(self, clock: Clock, requests: ActiveRequests, answer_times: AnswerTimes) -> None:
        self._clock = clock
        self._requests = requests
        self._answer_times = answer_times
        self.end_ms: int | None = None

    def begin(self, process_end_ms: int) -> None:
        """Bound all requests in progress, and all later ones, by the end of the process."""
        self.end_ms = process_end_ms - REFUSAL_MS
        for active in self._requests:
            active.job.end_by(self.end_ms)

    def last_send_ms(self, route: Route) -> int | None:
        """Return until when a request may be sent to a server; ``None`` without a limit."""
        if self.end_ms is None:
            return None
        return self.end_ms - self._answer_times.expected_ms(route.name, route.objective_ms)

    def is_too_late(self, route: Route) -> bool:
        """Return whether most answers of a route would not be complete at the end."""
        last_send_ms = self.last_send_ms(route)
        return last_send_ms is not None and self._clock.now_ms() >= last_send_ms

    def refuse_late_waits(self) -> None:
        """Refuse the requests that wait in this node and can't be answered any more."""
        for active in self._requests:
            if self.is_too_late(active.job.route):
                self._interrupt(active, is_last=False)

    def answer_all(self) -> None:
        """Have every request answered that has got no part of an answer."""
        for active in self._requests:
            self._interrupt(active, is_last=True)

    def _interrupt(self, active: ActiveRequest, is_last: bool) -> None:
        gevent.get_hub().loop.run_callback(self._throw, active, is_last)

    def _throw(self, active: ActiveRequest, is_last: bool) -> None:
        # The request may have been sent or have ended since the callback was scheduled.
        is_waiting = active in self._requests and not active.reply.started
        if is_waiting and (is_last or not active.job.is_at_server):
            active.handler.throw(NodeStopping())
