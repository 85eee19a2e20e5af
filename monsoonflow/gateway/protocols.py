"""The interfaces through which request handling uses the rest of the node."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Protocol

from ..core.server_life import ServerLife
from ..quarantine.models import RequestTraits, Turn
from ..routing.budget import Headroom
from ..routing.customers import Customer
from ..routing.quota import OverQuota, WithinQuota
from ..routing.routes import Route, Service
from ..transport.reply import Reply
from .job import Job
from .models import (
    AnswerTerms,
    AtLimit,
    AttemptResult,
    Call,
    Chosen,
    NoServer,
    StreamVersion,
)


class ServerChooser(Protocol):
    """Chooses a server for a request."""

    def choose(
        self, call: Call, route: Route, service: Service, job: Job, now_ms: int
    ) -> Chosen | NoServer:
        """Return a server for the request; may wait until one is available."""

    def response_timeout_ms(self, chosen: Chosen, route: Route) -> int:
        """Return how long a server may take to respond before it counts as unresponsive."""

    def start_deadline_ms(self, chosen: Chosen) -> int | None:
        """Return until when the request may begin at the server; ``None`` without a limit."""

    def may_send(self, chosen: Chosen) -> bool:
        """Return whether a server that was chosen still accepts requests."""

    def record_sent(self, chosen: Chosen, request_id: str, route: Route, now_ms: int) -> None:
        """Record that a request is being sent to its server."""

    def record_activity(self, chosen: Chosen, now_ms: int) -> None:
        """Record that a server sent a part of an answer."""

    def record_result(
        self, chosen: Chosen, request_id: str, result: AttemptResult, took_ms: int, now_ms: int
    ) -> None:
        """Record how an attempt ended."""


class CustomerQuotas(Protocol):
    """The quotas of customers."""

    def admit(self, customer: Customer, tokens: int) -> WithinQuota | OverQuota | None:
        """Return whether a request is within its customer's quota; ``None`` without a quota."""

    def give_back(self, customer: Customer, cost: int) -> None:
        """Return the units of a request that no server has run."""


class ServerLimiter(Protocol):
    """The limits of servers for requests of all nodes."""

    def record_answer(self, life: ServerLife, terms: AnswerTerms, sent_ms: int) -> None:
        """Record whether an answer names a limit."""

    def record_rest(self, life: ServerLife, rest_ms: int) -> None:
        """Record that a server asks this node for no requests for a time."""

    def awaits_return(self, life: ServerLife) -> bool:
        """Return whether the rest of a server is over and it has got no request since."""

    def is_resting(self, life: ServerLife) -> bool:
        """Return whether a server has asked this node for no requests until later."""

    def rate_per_s(self, life: ServerLife) -> float | None:
        """Return the limit that a server names; ``None`` without one."""

    def has_room(self, life: ServerLife) -> bool:
        """Return whether a server takes one more request now."""

    def admit(self, life: ServerLife) -> AtLimit | None:
        """Count a request that is sent now; return ``AtLimit`` if it must not be sent."""

    def retry_after_ms(self, service: str, lives: Collection[ServerLife]) -> int:
        """Return when a caller may retry that finds all servers of a service at their limits."""


class StreamVersions(Protocol):
    """Knows the software versions of the servers that began streams."""

    def record_begun(self, service: str, request_id: str, software_version: str) -> None:
        """Record the software version of a server that has sent an event of a stream.

        :param request_id: the caller's attempt that brought the stream's first event.
        """

    def find(self, service: str, request_id: str, timeout_ms: int) -> StreamVersion:
        """Return the software version that began a stream; may wait for peers.

        :param request_id: the caller's attempt that brought the stream's first event.
        """


class Paths(Protocol):
    """Knows which services this node reaches."""

    def record_sent(self, service: str) -> None:
        """Record that a request was sent to a server."""

    def record_response(self, service: str) -> None:
        """Record that a server sent a part of an answer."""

    def has_open_connection(self, service: str) -> bool:
        """Return whether an idle connection to a server of a service is open."""

    def record_unreachable(self, service: str) -> None:
        """Record that a server could not be reached."""

    def check_is_lost(self, service: str, failures: int) -> bool:
        """Return whether no server of a service can be reached now; waits for a check."""


class Forwarding(Protocol):
    """Lets peers handle requests whose servers this node does not reach."""

    def is_path_lost(self, service: str) -> bool:
        """Return whether this node reaches no server of a service."""

    def can_forward(self, job: Job) -> bool:
        """Return whether a peer reaches the servers that this node does not reach."""

    def forward(self, job: Job, reply: Reply, on_send: Callable[[], None]) -> AttemptResult | None:
        """Return what came of a request at a peer; ``None`` if no peer has taken it."""


class RetryBudget(Protocol):
    """Limits the retries of all nodes together, by service."""

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""

    def reserve_retry(self, service: str) -> Headroom:
        """Return whether the budget allows one more retry, and reserve it if so."""

    def record_retry_sent(self, service: str) -> None:
        """Count a reserved retry that is sent to a server now."""

    def release_retry(self, service: str) -> None:
        """Give back a reserved retry that will not be sent."""


class Quarantine(Protocol):
    """Keeps requests that crash servers away from all servers."""

    def refusal_cause(self, traits: RequestTraits) -> str | None:
        """Return why a request must not be sent to any server; ``None`` if it may."""

    def begin_trial(self, traits: RequestTraits) -> bool:
        """Return whether a quarantined request is sent once, to see whether it is sound now."""

    def return_trial(self, traits: RequestTraits) -> None:
        """Let another request be tried, since this one has reached no server."""

    def known_crashes(self, traits: RequestTraits) -> dict[str, tuple[ServerLife, ...]]:
        """Return the crashes that count against the parts of a request that is sent now."""

    def acquire_turn(self, fingerprint: str, timeout_ms: int) -> Turn:
        """Wait until a request may be sent."""

    def release_turn(self) -> None:
        """Let the next suspect request be sent."""

    def record_broken_connection(
        self,
        traits: RequestTraits,
        life: ServerLife,
        address: str,
        known_crashes: dict[str, tuple[ServerLife, ...]],
        answering_ms: int | None,
    ) -> None:
        """Record that a connection to a server broke while the server had a request.

        :param known_crashes: those that counted against its parts when it was sent.
        :param answering_ms: for how long the server had sent events; ``None`` if it had not begun.
        """

    def record_server_crash(self, life: ServerLife) -> None:
        """Record that a server's port refuses connections."""

    def record_completed(self, fingerprint: str) -> None:
        """Record that a server has answered a request completely."""

    def record_answering(self, traits: RequestTraits, began_ms: int) -> None:
        """Record that a server has answered a request, or has done so for a while."""

    def record_unmarked_end(
        self, traits: RequestTraits, began_ms: int, life: ServerLife, address: str
    ) -> None:
        """Record that an answer ended with its connection, which a crash would have ended too."""
