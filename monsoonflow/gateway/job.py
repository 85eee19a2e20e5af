"""The state of a caller's request while this node handles it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..discovery.models import BackendServer
from ..quarantine.models import RequestTraits
from ..routing.budget import Headroom
from ..routing.customers import Identity
from ..routing.routes import Route, Service
from ..transport.models import Framing, Request
from .event_splitter import EventSplitter
from .models import Call

LATE_RANK_PENALTY: Final = 5
"""Added to a request's rank at a runner once its latency objective has passed."""

MAX_RANK: Final = 9
"""The last rank that a request can have at a runner."""

CANCEL_BEFORE_CALLER_LEAVES_MS: Final = 700
"""How long before its caller leaves a request without a first event is cancelled. A runner that
processes long prompts slowly checks its connections only every 0.75 s, so a request cancelled when
the caller leaves keeps the runner busy for nobody. Of 294 requests that had waited this long on a
loaded day, 172 never got a first event."""


@attrs.define(slots=True)
class Job:
    """The state of a caller's request while this node handles it.

    All times are on this node's clock.

    :param first_tried_ms: when the caller probably sent the request for the first time, here or to
        another node.
    :param answer_deadline_ms: when this node must have answered.
    :param caller_deadline_ms: when the caller's own deadline ends.
    :param traits: its content and what its prompt shares with others.
    :param is_trial: whether it is sent although it is quarantined.
    :param known_crashes: those that counted against parts of its prompt when it was sent last.
    :param priority: of the customer and the route; 0 is the most urgent.
    :param identity: whose request it is; ``None`` in a configuration without customers.
    :param quota_cost: units that it uses of its customer's quota.
    :param tried_lives: the servers that it was sent to, in order.
    :param avoided_lives: the servers that refused it, broke off or could not be reached.
    :param full_lives: the servers whose limit was used up when it was about to be sent.
    :param limits_per_s: what all servers of its service take together, if all were at their limits.
    :param possible_runs: the number of attempts that may have run on a server.
    :param refused_ms_by_life: when each server last refused to run it, although the server has the
        adapter that it needs.
    :param retry_after_ms: the delay before a retry that a server asked for last.
    :param splitter: splits the answer into events; ``None`` unless the route is a stream.
    :param headroom: the retry budget's last decision; ``None`` if it was not asked since the last
        attempt.
    :param holds_turn: whether other suspect requests wait until its attempt has ended.
    :param has_reserved_retry: whether one retry of the budget is reserved for its next attempt.
    :param has_reached_server: whether a server may have run it or begun to.
    :param unsent_count: attempts in which nothing could be sent.
    :param first_event_ms: when the first part of the answer arrived.
    :param attempt_first_event_ms: when the first event of its last attempt arrived.
    :param last_event_ms: when the last events of its last attempt arrived.
    :param timed_event_count: number of its events until then.
    :param is_attempt_sound: whether the server of its last attempt has answered for a while.
    :param answer_framing: how the server that answered last marks the end of its answer.
    :param config_version: of the configuration by which it was routed.
    :param is_forwarded: whether a peer that does not reach the servers has forwarded it.
    :param tried_peers: the peers that it was forwarded to, in order.
    :param is_at_server: whether an attempt is in progress.
    :param software_version: of the servers that may go on with its stream; ``None`` for any.
    :param only_life: the only server that may go on with its stream, since the software version of
        the first one is unknown; ``None`` for any.
    """

    request: Request
    call: Call
    route: Route
    service: Service
    first_tried_ms: int
    answer_deadline_ms: int
    caller_deadline_ms: int
    traits: RequestTraits = RequestTraits()
    is_trial: bool = False
    known_crashes: dict[str, tuple[ServerLife, ...]] = attrs.Factory(dict)
    priority: int = attrs.field(
        default=attrs.Factory(lambda job: job.route.priority, takes_self=True)
    )
    identity: Identity | None = None
    quota_cost: int = 0
    tried_lives: list[str] = attrs.Factory(list)
    avoided_lives: list[str] = attrs.Factory(list)
    full_lives: list[str] = attrs.Factory(list)
    limits_per_s: float | None = None
    possible_runs: int = 0
    refused_ms_by_life: dict[str, int] = attrs.Factory(dict)
    retry_after_ms: int | None = None
    splitter: EventSplitter | None = None
    headroom: Headroom | None = None
    holds_turn: bool = False
    has_reserved_retry: bool = False
    has_reached_server: bool = False
    unsent_count: int = 0
    first_event_ms: int | None = None
    attempt_first_event_ms: int | None = None
    last_event_ms: int = 0
    timed_event_count: int = 0
    is_attempt_sound: bool = False
    answer_framing: Framing | None = None
    config_version: int = 0
    is_forwarded: bool = False
    tried_peers: list[str] = attrs.Factory(list)
    is_at_server: bool = False
    software_version: str | None = None
    only_life: ServerLife | None = None

    @property
    def customer_name(self) -> str | None:
        """Return the name of the customer, if the request carried a key."""
        has_customer = self.identity is not None and self.identity.customer is not None
        return self.identity.customer.name if has_customer else None

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt may have run on a server."""
        return self.possible_runs > 0

    def end_by(self, end_ms: int) -> None:
        """Bound the time of the request by the end of the process."""
        self.answer_deadline_ms = min(self.answer_deadline_ms, end_ms)

    def objective_deadline_ms(self) -> int:
        """Return the time until which a first event meets the route's latency objective."""
        return self.first_tried_ms + self.route.objective_ms

    def first_event_deadline_ms(self) -> int:
        """Return when the caller leaves if it has not received the first event.

        Callers of a stream leave long before their deadline if nothing arrives.
        """
        if self.route.first_event_timeout_ms is None:
            return self.answer_deadline_ms
        return min(
            self.answer_deadline_ms, self.request.arrived_ms + self.route.first_event_timeout_ms
        )

    def cancel_at_ms(self) -> int:
        """Return when the request is cancelled if its first event has not arrived."""
        leaves_ms = self.first_event_deadline_ms()
        if self.route.first_event_timeout_ms is None or leaves_ms >= self.answer_deadline_ms:
            return self.answer_deadline_ms
        return leaves_ms - CANCEL_BEFORE_CALLER_LEAVES_MS

    def rank_at(self, now_ms: int) -> int:
        """Return the rank at a runner, which processes rank 0 first.

        Requests that are already late rank behind those that can still meet their objective. In
        order of arrival, a backlog would make all of them late. A request whose caller has received
        a part of the answer ranks first.
        """
        if self.has_caller_events():
            return 0
        is_late = now_ms > self.objective_deadline_ms()
        return min(self.priority + (LATE_RANK_PENALTY if is_late else 0), MAX_RANK)

    def has_caller_events(self) -> bool:
        """Return whether the caller has events of the stream, from this answer or one before."""
        return self.is_resuming() or (self.splitter is not None and self.call.resumes_stream)

    def is_resuming(self) -> bool:
        """Return whether parts of the answer have been forwarded to the caller."""
        return self.splitter is not None and self.splitter.event_count > 0

    def can_go_on(self) -> bool:
        """Return whether another server can go on with an answer that the caller has a part of."""
        return self.splitter is not None and self.splitter.is_position_known

    def record_stream_server(self, life: ServerLife, software_version: str | None) -> None:
        """Record the server that has sent an event; only servers like it may go on."""
        if self.software_version is not None or self.only_life is not None:
            return
        self.software_version = software_version
        if software_version is None:
            self.only_life = life

    def needs_software_version(self) -> bool:
        """Return whether only some of the servers may go on with its stream."""
        return self.software_version is not None or self.only_life is not None

    def may_use(self, server: BackendServer) -> bool:
        """Return whether a server may go on with its stream; any may begin one.

        What two software versions generate does not fit together, and servers don't check it.
        """
        if self.only_life is not None:
            return server.life == self.only_life
        return self.software_version is None or server.software_version == self.software_version

    def usable_servers(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that may go on with its stream."""
        return [server for server in servers if self.may_use(server)]

    def may_run_again(self) -> bool:
        """Return whether another server may run it.

        That is so if the route's requests are repeatable and the route allows another attempt.
        """
        return self.route.is_repeatable and self.possible_runs < self.route.max_attempts
