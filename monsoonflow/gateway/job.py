"""One request of a caller on its way through this node."""

from __future__ import annotations

import attrs

from ..routing.routes import Route, Service
from ..transport.models import Request
from .events import EventCutter
from .models import Call


@attrs.define(slots=True)
class Job:
    """One request of a caller on its way through this node.

    :param since_ms: when its caller began to try, as far as that can be told.
    :param until_ms: when it must be answered.
    :param tried: the servers that it was sent to, in order.
    :param avoided: the servers that refused it, broke off or could not be reached.
    :param runs: how many tries may have run on a server.
    :param first_ms: when the first part of the answer came.
    """

    request: Request
    call: Call
    route: Route
    service: Service
    since_ms: int
    until_ms: int
    deadline_at_ms: int
    tried: list[str] = attrs.Factory(list)
    avoided: list[str] = attrs.Factory(list)
    runs: int = 0
    retry_after_ms: int | None = None
    cutter: EventCutter | None = None
    first_ms: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether a try may have run on a server."""
        return self.runs > 0

    def on_time_until_ms(self) -> int:
        """Return until when the first event meets the route's latency objective."""
        return self.since_ms + self.route.objective_ms

    def resuming(self) -> bool:
        """Tell whether parts of the answer have been passed on."""
        return self.cutter is not None and self.cutter.events > 0

    def may_run_again(self) -> bool:
        """Tell whether another server may run it, by its kind and the route's attempts."""
        return self.route.repeatable and self.runs < self.route.attempts
