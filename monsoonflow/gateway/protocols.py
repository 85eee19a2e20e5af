"""What the handling of a request needs of the rest of the node."""

from __future__ import annotations

from typing import Protocol

from ..core.server_life import ServerLife
from ..quarantine.models import Turn
from ..routing.budget import Headroom
from ..routing.routes import Route, Service
from .job import Job
from .models import AttemptResult, Call, Chosen, NoServer


class ServerChooser(Protocol):
    """Chooses a server for a request."""

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a server; may wait for one."""

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a server may take before it seems to hang."""

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return until when a request may begin where it was sent; ``None`` without a bound."""

    def may_send(self, chosen: Chosen) -> bool:
        """Tell whether a server that was chosen still takes work."""

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Take that a request goes out to its server."""

    def record_activity(self, chosen: Chosen, now_ms: int) -> None:
        """Take a part of an answer of a server."""

    def record_result(
        self, chosen: Chosen, request_id: str, result: AttemptResult, took_ms: int, now_ms: int
    ) -> None:
        """Take how a try ended."""


class RetryBudget(Protocol):
    """Counts requests and retries over the fleet."""

    def record_request(self, service: str) -> None:
        """Count a request for a service."""

    def reserve_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and keep a place for it if so."""

    def record_retry_sent(self, service: str) -> None:
        """Count a further try that was allowed: it goes to a server now."""

    def release_retry(self, service: str) -> None:
        """Give back a further try that was allowed and will not be sent."""


class Quarantine(Protocol):
    """Knows the requests under which servers end."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""

    def acquire_turn(self, fingerprint: str, timeout_ms: int) -> Turn:
        """Wait until a request may be sent."""

    def release_turn(self) -> None:
        """Let the next suspect go."""

    def record_broken_connection(self, fingerprint: str, life: ServerLife, address: str) -> None:
        """Take that a server's connection broke while it had a request."""

    def record_server_crash(self, life: ServerLife) -> None:
        """Take that a server's port refuses connections."""

    def record_completed(self, fingerprint: str) -> None:
        """Take that a server has answered a request whole."""
