"""Finds a runner that holds an adapter, or requests a slot for it, for this node's requests."""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import TYPE_CHECKING, Any, Final

import orjson

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import BackendServer
from ..gateway.backlog import Backlog
from ..gateway.job import Job
from ..gateway.limited_servers import no_open_server, no_server_of_version, open_servers
from ..gateway.models import Call, Chosen, NoServer
from ..logs import events, log
from ..placement.request_queue import NoSlot, Placed
from ..routing.routes import Route, Service
from ..transport.models import Lost
from .peers import SLOT_REQUEST_PATH

if TYPE_CHECKING:
    from .daemon import EntryDaemon

_LOGGER = logging.getLogger(__name__)
SLOT_WAIT_SHARE: Final = 0.6
"""Share of the remaining time that a request waits for its adapter; the rest is for its answer."""

RESUME_PRIORITY: Final = -1
"""Ahead of the most urgent routes, which have 0."""

NO_HOLDER_PAUSE_MS: Final = 60
MAX_ANSWER_WAIT_MS: Final = 800
"""Longest wait for a holder's answer before the request is sent again: a holder that was suspended
meanwhile counts as silent by then, and another node is asked."""

OLD_VERSION_SHARE: Final = 0.5
"""Share of the bound on new versions during which an older one may still start a request; the rest
is for requests on their way."""

RECALL_SHARE: Final = 0.8
"""Share of the bound on new versions after which a request that still waits at a runner for an
older one is recalled; the rest is for a node that learnt of the version late."""

REFUSED_RETRY_AFTER_MS: Final = 500

RESIDENCY_STALE_MS: Final = 5_000
"""A holder's residency report that is older is ignored while its heartbeats arrive: it sends one to
all nodes with callers at least every two seconds, and a datagram may be lost."""

MAX_RESIDENCY_LAG_MS: Final = 1_500
"""How much older than its last heartbeat the residency report of a holder may be: what was known of
a holder that has fallen silent stays in use."""


class PlacementClient:
    """Finds runners that hold an adapter, and gets adapters loaded."""

    def __init__(self, daemon: EntryDaemon) -> None:
        self._daemon = daemon

    def runners_with_adapter(
        self, adapter: str, among: Collection[ServerLife] | None = None
    ) -> dict[str, int]:
        """Return the version of an adapter by the runner that can serve it now.

        :param among: the runners that may be used; ``None`` for all.
        """
        held = self._known_holders(adapter)
        if among is not None:
            held = {life: version for life, version in held.items() if life in among}
        wanted = self.wanted_version(adapter)
        if wanted is None:
            return held
        current = {life: version for life, version in held.items() if version >= wanted}
        return current or {
            life: version
            for life, version in held.items()
            if not self._is_too_old(adapter, version)
        }

    def _known_holders(self, adapter: str) -> dict[str, int]:
        """Return the runners that hold an adapter, by the recent reports of lease holders.

        A node that had no callers until now was only sent that the holder is alive: what it knows
        may be minutes old, and it asks the holder.
        """
        daemon = self._daemon
        held = daemon.cell_leases.residency.holders(adapter)
        now_ms = daemon.clock.now_ms()
        for life in list(held):
            server = daemon.cluster_state.server_registry.server_by_life.get(life)
            claim = daemon.view.claim_of(server.service) if server is not None else None
            if claim is None or claim.holder == daemon.settings.name:
                continue
            report_age_ms = daemon.view.residency_age_ms(claim.holder, now_ms)
            heartbeat_age_ms = daemon.view.heartbeat_age_ms(claim.holder, now_ms)
            if report_age_ms is not None and report_age_ms > max(
                RESIDENCY_STALE_MS, heartbeat_age_ms + MAX_RESIDENCY_LAG_MS
            ):
                del held[life]
        return held

    def wanted_version(self, adapter: str) -> int | None:
        """Return the version that the operator published; ``None`` where there is none."""
        return self._daemon.cluster_state.version_by_adapter.get(adapter)

    def start_deadline_ms(self, adapter: str, version: int) -> int | None:
        """Return until when a request may start on a version; ``None`` while it is the newest.

        A runner's own queue may be seconds long: a request sent before a newer version was
        published would start on the older one after the bound.
        """
        superseded_ms = self._daemon.cluster_state.superseded_at_ms(adapter, version)
        if superseded_ms is None:
            return None
        return superseded_ms + int(self._daemon.settings.bounds.version_ms * RECALL_SHARE)

    def mark_adapter_missing(self, adapter: str, life: ServerLife) -> None:
        """Record a runner's answer that it does not hold an adapter."""
        self._daemon.cell_leases.residency.record_missing(life, adapter)
        self._daemon.cell_leases.mark_unconfirmed(life, adapter)

    def request_slot(
        self,
        call: Call,
        route: Route,
        service: Service,
        job: Job,
        overloaded: Collection[ServerLife] = (),
    ) -> Chosen | NoServer:
        """Get the adapter loaded on some runner; waits until it is there.

        :param overloaded: runners that hold it and can't process the prompt in time.
        """
        clock = self._daemon.clock
        began_ms = clock.now_ms()
        runners = self._usable_runners(service, job)
        open_lives = {
            runner.life for runner in open_servers(runners, self._daemon.server_limits, job)
        }
        if runners and not open_lives:
            return no_open_server(runners, self._daemon.server_limits, job)
        if overloaded and not open_lives.difference(overloaded):
            drained_ms = self._daemon.backlog.queue_drain_ms(overloaded, job, began_ms)
            return NoServer("every queue is longer than the time left", drained_ms)
        choice = self._request_until_placed(call, route, service, job, frozenset(overloaded))
        waited_ms = clock.now_ms() - began_ms
        result = "placed" if isinstance(choice, Chosen) else "refused"
        self._daemon.metrics.slot_wait.labels(result).observe(waited_ms / 1000)
        claim = self._daemon.view.claim_of(service.name)
        log(
            _LOGGER,
            events.RequestWaited(
                request=call.request_id,
                adapter=call.adapter or "",
                holder=claim.holder if claim is not None else None,
                result=result,
                waited_ms=waited_ms,
            ),
        )
        return choice

    def _request_until_placed(
        self,
        call: Call,
        route: Route,
        service: Service,
        job: Job,
        overloaded: frozenset[ServerLife],
    ) -> Chosen | NoServer:
        clock = self._daemon.clock
        began_ms = clock.now_ms()
        until_ms = began_ms + int((job.answer_deadline_ms - began_ms) * SLOT_WAIT_SHARE)
        if not job.is_resuming():
            until_ms = min(until_ms, self._slot_useful_until_ms(call, route, job))
        while (left_ms := self._waits_until_ms(route, until_ms) - clock.now_ms()) > 0:
            runners = self._usable_runners(service, job)
            if job.needs_software_version() and not runners:
                return no_server_of_version(job)
            if runners and not open_servers(runners, self._daemon.server_limits, job):
                return no_open_server(runners, self._daemon.server_limits, job)
            slot_request = self._create_slot_request(call, route, service, job, left_ms, overloaded)
            slot_request["waited_ms"] = clock.now_ms() - began_ms
            slot_request["tried_ms"] = job.request.arrived_ms - job.first_tried_ms
            answer = self._send_slot_request(service, slot_request, left_ms)
            if isinstance(answer, NoSlot):
                return NoServer("too many wait for a place", answer.retry_after_ms)
            chosen = (
                self._choose_granted_slot(call, job, answer) if isinstance(answer, Placed) else None
            )
            if chosen is None:
                self._daemon.tasks.sleep(min(NO_HOLDER_PAUSE_MS, left_ms))
                chosen = self._choose_new_holder(call, service, job)
            if chosen is not None:
                return chosen
        return NoServer("no slot for the adapter in time", REFUSED_RETRY_AFTER_MS)

    def _waits_until_ms(self, route: Route, until_ms: int) -> int:
        """Return until when a request may wait, as a stop of this process may begin meanwhile."""
        last_send_ms = self._daemon.gateway.stop_deadline.last_send_ms(route)
        return until_ms if last_send_ms is None else min(until_ms, last_send_ms)

    def _slot_useful_until_ms(self, call: Call, route: Route, job: Job) -> int:
        """Return until when a slot still allows a first event before the caller leaves.

        Callers of a stream leave long before their deadline when nothing arrives: if requests
        waited beyond that, one in nine of the most urgent kind would remain unanswered in a burst,
        and its caller would not be told when to retry.
        """
        if route.first_event_timeout_ms is None:
            return job.answer_deadline_ms
        answer_ms = self._daemon.gateway.first_event_estimator.expected_ms(call.prompt_tokens)
        leaves_ms = job.request.arrived_ms + route.first_event_timeout_ms
        return min(leaves_ms, job.cancel_at_ms()) - answer_ms

    def _choose_granted_slot(self, call: Call, job: Job, granted: Placed) -> Chosen | None:
        registry = self._daemon.cluster_state.server_registry
        server = registry.server_by_life.get(granted.life)
        if server is None or not registry.is_accepting_work(granted.life):
            return None
        if not job.may_use(server):
            return None
        if not open_servers([server], self._daemon.server_limits, job):
            return None
        if self._is_too_old(call.adapter or "", granted.version):
            return None
        job.first_tried_ms = min(job.first_tried_ms, job.request.arrived_ms - granted.tried_ms)
        adapter = call.adapter or ""
        ref = AdapterRef(adapter, granted.version)
        self._daemon.cell_leases.residency.record_granted(granted.life, ref)
        wanted_version = self.wanted_version(adapter)
        is_current = wanted_version is not None and granted.version >= wanted_version
        expected_version = wanted_version if is_current else None
        return self._create_choice(server, call, job, granted.version, expected_version, "placed")

    def _choose_new_holder(self, call: Call, service: Service, job: Job) -> Chosen | None:
        """Return a runner that was reported to hold the adapter while nobody answered."""
        runners = self._usable_runners(service, job)
        among = {runner.life for runner in runners} if job.needs_software_version() else None
        held = self.runners_with_adapter(call.adapter or "", among)
        now_ms = self._daemon.clock.now_ms()
        usable = open_servers(runners, self._daemon.server_limits, job)
        for server in self._daemon.runner_memory.with_room(usable, job, now_ms):
            if server.life not in held or server.life in job.avoided_lives:
                continue
            if self._daemon.backlog.can_prefill_in_time(server.life, job, now_ms):
                return self._create_choice(
                    server, call, job, held[server.life], None, "held meanwhile"
                )
        return None

    def _create_slot_request(
        self,
        call: Call,
        route: Route,
        service: Service,
        job: Job,
        left_ms: int,
        overloaded: frozenset[ServerLife],
    ) -> dict[str, Any]:
        now_ms = self._daemon.clock.now_ms()
        prefill_within_ms = None if job.is_resuming() else Backlog.max_queue_ms(job, now_ms)
        answer_ms = self._daemon.gateway.first_event_estimator.expected_ms(call.prompt_tokens)
        on_time_ms = job.objective_deadline_ms() - answer_ms - now_ms
        priority = job.priority
        if job.has_caller_events():
            # Half an answer is worth nothing: a request that has received a part of it goes before
            # all others.
            priority, on_time_ms = RESUME_PRIORITY, left_ms
        return {
            "cell": service.name,
            "adapter": call.adapter,
            "version": self.wanted_version(call.adapter or "") or 1,
            "priority": priority,
            "wait_ms": left_ms,
            "on_time_ms": on_time_ms,
            "avoid": self._runners_to_avoid(service, job, overloaded),
            "software_version": job.software_version,
            "session": call.session,
            "customer": job.customer_name,
            "request": call.request_id,
            "lacking": self._daemon.cell_leases.residency.runners_lacking(call.adapter or ""),
            "rank": job.rank_at(now_ms),
            "prompt_tokens": call.prompt_tokens,
            "read_ms": prefill_within_ms,
            "tokens_per_ms": self._daemon.backlog.prefill_rate.tokens_per_ms(None, now_ms),
            "memory_tokens": self._daemon.runner_memory.slot_need_tokens(job),
        }

    def _send_slot_request(
        self, service: Service, slot_request: dict[str, Any], left_ms: int
    ) -> Placed | NoSlot | None:
        """Ask this node's scheduler, or the holder's; ``None`` when nobody answers."""
        daemon = self._daemon
        lease = daemon.cell_leases.lease_of(service.name)
        if lease is not None and lease.scheduler is not None:
            return daemon.cell_leases.request_slot(lease, slot_request)
        claim = daemon.view.claim_of(service.name)
        record = daemon.view.record_by_name.get(claim.holder) if claim is not None else None
        if record is None or not daemon.view.is_alive(claim.holder, daemon.clock.now_ms()):
            return None
        body = orjson.dumps(slot_request)
        answer = daemon.peer_client.call(
            record.peer_address, SLOT_REQUEST_PATH, body, min(left_ms, MAX_ANSWER_WAIT_MS)
        )
        if isinstance(answer, Lost):
            if not answer.sent:
                daemon.view.mark_refused(claim.holder)
            return None
        try:
            data = orjson.loads(answer.body)
            if answer.head.status == 200:
                return Placed(
                    ServerLife(data["server"]), int(data["version"]), int(data["tried_ms"])
                )
            return NoSlot(int(data["retry_after_ms"]))
        except (ValueError, KeyError, TypeError):
            return None

    def _runners_to_avoid(
        self, service: Service, job: Job, overloaded: frozenset[ServerLife]
    ) -> list[ServerLife]:
        """Return the runners to avoid; only those that can't serve the request if none is left.

        An adapter is loaded at a runner with a limit only if there is no other runner: it would
        soon be needed more often than the runner takes requests.

        :param overloaded: avoided in any case: the request can't be served there.
        """
        daemon, now_ms = self._daemon, self._daemon.clock.now_ms()
        runners = self._usable_runners(service, job)
        lives = {runner.life for runner in runners}
        open_lives = {runner.life for runner in open_servers(runners, daemon.server_limits, job)}
        # A lease holder of an earlier release knows no software versions, so it is told of all
        # runners of other versions, also of those that leave: it may not know yet that they do.
        unfit = {
            server.life
            for server in daemon.cluster_state.server_registry.server_by_life.values()
            if server.service == service.name and not job.may_use(server)
        }
        unusable = (lives - open_lives) | overloaded | unfit
        paused = {life for life in lives if daemon.health_tracker.is_paused(life, now_ms)}
        limited = {life for life in lives if daemon.server_limits.rate_per_s(life) is not None}
        for avoided in (
            {*job.avoided_lives, *paused, *limited, *unusable},
            {*job.avoided_lives, *paused, *unusable},
        ):
            if lives - avoided:
                return sorted(avoided)
        return sorted(unusable)

    def _usable_runners(self, service: Service, job: Job) -> list[BackendServer]:
        """Return the runners that accept a request."""
        registry = self._daemon.cluster_state.server_registry
        return job.usable_servers(registry.servers_of(service.name))

    def _is_too_old(self, adapter: str, version: int) -> bool:
        """Return whether a version may no longer receive new requests."""
        after_ms = self._daemon.settings.bounds.version_ms * OLD_VERSION_SHARE
        return self._daemon.cluster_state.has_been_superseded_for(
            AdapterRef(adapter, version), after_ms
        )

    def _create_choice(
        self,
        server: BackendServer,
        call: Call,
        job: Job,
        version: int,
        expect_version: int | None,
        why: str,
    ) -> Chosen:
        now_ms = self._daemon.clock.now_ms()
        return Chosen(
            server.life,
            server.address,
            call.adapter,
            version,
            call.prompt_tokens,
            self._daemon.runner_memory.need_tokens(job),
            expect_version,
            why,
            self._daemon.backlog.queue_ahead(server.life, job, now_ms),
            server.software_version,
        )
