"""What the handling of a request needs of the rest of the node."""

from __future__ import annotations

from typing import Protocol

from ..core.server_life import ServerLife
from ..quarantine.models import Turn
from ..routing.budget import Headroom
from ..routing.routes import Route, Service
from .job import Job
from .models import Call, Chosen, NoServer, Try


class Chooser(Protocol):
    """Chooses a server for a request."""

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a server; may wait for one."""

    def patience_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a server may take before it seems to hang."""

    def begins_until_ms(self, chosen: Chosen) -> int | None:
        """Return until when a request may begin where it was sent; ``None`` without a bound."""

    def may_send(self, chosen: Chosen) -> bool:
        """Tell whether a server that was chosen still takes work."""

    def sent(self, chosen: Chosen, request: str, route: Route, now_ms: int) -> None:
        """Take that a request goes out to its server."""

    def alive(self, chosen: Chosen, now_ms: int) -> None:
        """Take a part of an answer of a server."""

    def ended(self, chosen: Chosen, request: str, result: Try, took_ms: int, now_ms: int) -> None:
        """Take how a try ended."""


class RetryGate(Protocol):
    """Counts requests and retries over the fleet."""

    def first(self, service: str) -> None:
        """Count a request for a service."""

    def may_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more arrival, and keep a place for it if so."""

    def sent(self, service: str) -> None:
        """Count a further try that was allowed: it goes to a server now."""

    def unused(self, service: str) -> None:
        """Give back a further try that was allowed and will not be sent."""


class Quarantine(Protocol):
    """Knows the requests under which servers end."""

    def refuses(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""

    def take_turn(self, fingerprint: str, at_most_ms: int) -> Turn:
        """Wait until a request may be sent."""

    def end_turn(self) -> None:
        """Let the next suspect go."""

    def broke(self, fingerprint: str, life: ServerLife, address: str) -> None:
        """Take that a server's connection broke while it had a request."""

    def server_ended(self, life: ServerLife) -> None:
        """Take that a server's port refuses connections."""

    def completed(self, fingerprint: str) -> None:
        """Take that a server has answered a request whole."""
