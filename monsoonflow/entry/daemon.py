"""Starts, runs and stops one entry process."""

from __future__ import annotations

import gc
import logging
import random
import signal
from collections.abc import Callable
from typing import Final, Protocol

import attrs
import gevent
from gevent.event import Event

from ..core.clock import Clock, MonotonicClock
from ..core.server_life import ServerLife
from ..core.tasks import Tasks
from ..fleet.gossip import Gossip
from ..fleet.models import BegunStreams, Heartbeat, NodeRecord, UsageDelta, WorkDelta
from ..fleet.view import FleetView
from ..gateway.backlog import Backlog
from ..gateway.budget import SharedRetryBudget
from ..gateway.configuration_status import ConfigurationStatus
from ..gateway.forwarding import PeerForwarding
from ..gateway.handler import Gateway
from ..gateway.models import Dialect
from ..gateway.peer_forwarder import PeerForwarder
from ..gateway.plain_server_chooser import PlainServerChooser
from ..gateway.quota import SharedQuota
from ..gateway.quota_peers import QuotaPeerTracker
from ..gateway.request_log import RequestLog
from ..gateway.runner_chooser import RunnerChooser
from ..gateway.runner_memory import RunnerMemory
from ..gateway.server_limits import SharedServerLimits
from ..gateway.service_paths import ServicePaths
from ..gateway.usage_announcer import UsageAnnouncer
from ..helpers.gevent_tasks import GeventTasks
from ..helpers.ids import new_id
from ..helpers.settings import SettingError
from ..logs import events, log
from ..orders.models import RunnerControl
from ..quarantine.crash_probe import CrashProbe
from ..quarantine.manager import QuarantineManager
from ..routing.budget import FleetRetryBudget, RetryAllowance
from ..routing.customer_usage import CustomerUsage
from ..routing.full_servers import FullServers
from ..routing.health import HealthTracker
from ..routing.in_flight import InFlight
from ..routing.quota import FleetQuota, QuotaTolerance
from ..routing.server_limits import TOLERANCE as SERVER_LIMIT_TOLERANCE
from ..routing.server_limits import ServerLimits
from ..routing.server_rests import ServerRests
from ..storage.coverage import Coverage
from ..storage.models import ChangedRow, ChangeFeed, RawTable
from ..storage.retrying_table import RetryingTable
from ..transport.client import ConnectionPools
from ..transport.connection_limit import (
    ConnectionLimit,
    callers_limit,
    control_limit,
    peers_limit,
)
from ..transport.held_bytes import HeldBytes
from ..transport.models import MessageLimits
from ..transport.server import Handler, HttpServer
from .address_directory import AddressDirectory
from .cell_leases import CellLeases
from .cluster_state import ClusterState
from .customer_shares import CustomerShares
from .metrics import EntryMetrics
from .node_activity import NodeActivity
from .node_registration import NodeRegistration
from .pace_exchange import PaceExchange
from .peers import PeerApi, PeerClient
from .placement_client import PlacementClient
from .settings import EntrySettings, PeerBounds
from .software_versions import STREAM_LIFE_MS, SoftwareVersions
from .stall_detector import StallDetector
from .stopping import stop_gracefully
from .store_follower import Decoders, LostRowHandlers, StoreFollower, StoreWatches
from .stream_version_links import StreamVersionLinks
from .stream_versions import FleetStreamVersions
from .version_records import VersionRecords

_LOGGER = logging.getLogger(__name__)
PEER_SNAPSHOT_DELAY_MS = 400
"""How long a node that starts waits for the store before it asks its peers: the time of some ten
answers."""

MAINTENANCE_INTERVAL_MS = 500
"""How often idle connections and unconfirmed servers are checked."""

ENTRY_LAPSE_HEARTBEATS = 3.5
"""The store removes an entry after three heartbeats of silence, and servers beat irregularly."""


HEAR_PEERS_MS: Final = 2_000
"""How long a node that starts waits to hear its peers before it denies a route or a key: what it
has read from the store may be an older copy. Heartbeats of small fleets arrive within 0.2 s."""

START_MS: Final = 10_000
"""How long after its start a node counts as starting: a configuration of two thousand routes takes
a second or two on a shared link."""

PEER_CHECK_MS: Final = 300
"""How long peers take to check and to announce whether they reach a service that this node lost."""

CONTROL_MEMORY_SHARE: Final = 1 / 8
"""Share of the memory from which the listeners that answer without a server have their bounds:
their requests have no bodies."""

FORWARDED_HEAD_BYTES: Final = 2_048
"""What a node adds to the head of a request that it forwards."""

FORWARDED_LINE_GROWTH: Final = 5 / 4
"""How much longer the caller's lines may become: the shortest have four bytes, and are forwarded
with a space that they lacked."""


class PlatformIntegration(Protocol):
    """What the integration with a deployment's platform provides."""

    dialect: Dialect
    decoders: Decoders

    def raw_table(self) -> RawTable:
        """Return the table service."""

    def feed(self) -> ChangeFeed:
        """Return a change feed with a connection of its own."""

    def runners(self, on_leaving: Callable[[ServerLife, str], None]) -> RunnerControl:
        """Return the client that reads reports of runners and sends them orders.

        :param on_leaving: called when a runner states that it is shutting down, with the answer
            that says so.
        """

    def call_on_store_return(self, on_return: Callable[[], None]) -> None:
        """Have a function called when the store has returned from a copy and has lost rows."""

    def store_calls(self) -> int:
        """Return how many calls to the store were made."""

    def readiness(self, ready: Callable[[], bool]) -> Handler:
        """Return the handler of the readiness address."""

    def directory(self, choose: Callable[[str | None], tuple[list[str], float]]) -> Handler:
        """Return the handler of the directory address.

        :param choose: chooses addresses by the data centre that a caller says it is in.
        """


@attrs.define(slots=True)
class Ports:
    """The ports on which a process listens."""

    callers: HttpServer
    ready: HttpServer
    directory: HttpServer
    peers: HttpServer
    metrics: HttpServer

    def all(self) -> tuple[HttpServer, ...]:
        """Return all ports; callers are accepted last, when everything else answers."""
        return (self.ready, self.directory, self.peers, self.metrics, self.callers)


class EntryDaemon:
    """One entry process: its cluster state, its ports and its background tasks."""

    def __init__(
        self,
        settings: EntrySettings,
        integration: PlatformIntegration,
        reread_settings: Callable[[], EntrySettings | SettingError | None] = lambda: None,
        tasks: Tasks | None = None,
    ) -> None:
        self.settings = settings
        self._reread_settings = reread_settings
        self.boot_id = new_id("b")
        self.clock: Clock = MonotonicClock()
        self.tasks: Tasks = tasks or GeventTasks()
        self.rng = random.Random()
        self.is_leaving = False
        self.view = FleetView(settings.name, settings.cores)
        self.cluster_state = ClusterState(self.clock)
        self.in_flight = InFlight(self._handle_adapter_use_change, self._handle_work_change)
        self.backlog = Backlog(self.in_flight, self.view)
        self.pace_exchange = PaceExchange(self.backlog.pace, self.clock)
        self.health_tracker = HealthTracker()
        self.connection_pools = ConnectionPools(self.clock)
        self.forwarding_pools = ConnectionPools(self.clock)
        self.metrics = EntryMetrics()
        self.held_bytes = HeldBytes.for_memory(settings.memory_bytes)
        self.caller_connections = ConnectionLimit(
            callers_limit(settings.memory_bytes, settings.max_sockets)
        )
        self.stall_detector = StallDetector(self.clock, self.tasks, settings.bounds.thaw_ms)
        self._heartbeat_sequence = 0
        self._started_ms = self.clock.now_ms()
        self._announced_era = 0
        self._lost_services_by_peer: dict[str, frozenset[str]] = {}
        self._stop_requested = Event()
        bounds = settings.bounds
        self.retry_budget = FleetRetryBudget(
            RetryAllowance(bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_ms),
            None if settings.first_start else self.clock.now_ms(),
        )
        self.shared_retries = SharedRetryBudget(
            self.retry_budget, self.view, self.clock, lambda: self.activity.active
        )
        self.fleet_quota = FleetQuota(
            _quota_tolerance(bounds), self.rng, settings.first_start, self.clock.now_ms()
        )
        self.quota_peer_tracker = QuotaPeerTracker(
            self.view, self.clock, lambda: self.activity.active
        )
        self.usage_announcer = UsageAnnouncer(self.clock, self.tasks, self._send_usage)
        self.shared_quota = SharedQuota(
            self.fleet_quota,
            self.quota_peer_tracker,
            self.usage_announcer,
            self.clock,
            lambda: self.cluster_state.route_table,
        )
        self.server_limits = SharedServerLimits(
            ServerLimits(),
            FleetQuota(SERVER_LIMIT_TOLERANCE, self.rng, settings.first_start, self.clock.now_ms()),
            self.quota_peer_tracker,
            self.usage_announcer,
            self.clock,
            settings.name,
            FullServers(self.rng),
            ServerRests(self.rng),
            self.rng,
            lambda life: self.in_flight.work_at(life).requests,
            self._requests_at,
            self._slots_of,
        )
        self.service_paths = ServicePaths(
            self.cluster_state.server_registry.servers_of,
            self.connection_pools,
            self.tasks,
            self.clock,
            self.rng,
            self._handle_path_change,
        )
        self.peer_forwarder = PeerForwarder(
            self.view, self.service_paths, self.clock, self.rng, settings.data_centre
        )
        self.store_table = RetryingTable(integration.raw_table(), self.tasks)
        self.gossip = Gossip(
            settings.report_address,
            self.view,
            self.heartbeat,
            self._handle_heartbeat,
            self.tasks,
            self.clock,
            self._work_delta,
            self._handle_usage_delta,
            self._handle_begun_streams,
        )
        self.quarantine_manager = QuarantineManager(
            settings.name,
            CrashProbe(self.connection_pools, self.clock),
            self.store_table,
            self.tasks,
            self.clock,
            self.gossip.schedule_broadcast,
            self._is_end_expected,
        )
        self.peer_client = PeerClient(self.view, self.clock, integration.decoders.table)
        self.customer_usage = CustomerUsage()
        self.customer_shares = CustomerShares(
            settings.name,
            self.boot_id,
            self.customer_usage,
            self.clock,
            self._quota_rate_of,
            self._is_customer,
        )
        self.cell_leases = CellLeases(self, integration.runners(self._handle_server_leaving))
        self.store_follower = StoreFollower(
            integration.decoders,
            self.cluster_state,
            self.view,
            self.clock,
            self._handle_own_row,
            self.connection_pools.close_idle,
            self._announce_store_changes,
            self.gossip.schedule_broadcast,
            self._handle_server_row,
            LostRowHandlers(
                self._handle_own_rows_lost,
                self.cell_leases.handle_row_lost,
                lambda name: self.node_registration.handle_record_lost(name),
            ),
        )
        self.stream_versions = self._create_stream_versions()
        self.activity = NodeActivity(
            self.view,
            self.in_flight,
            self.retry_budget,
            self.clock,
            lambda: self.store_follower.watches_servers,
            lambda: self.server_limits.limited_count() > 0,
            self._refresh_servers,
        )
        self.store_watches: StoreWatches | None = None
        integration.call_on_store_return(lambda: self.tasks.spawn(self._handle_store_return))
        self.node_registration = NodeRegistration(
            self._node_record, self.store_table, self.view, self.tasks, self.clock
        )
        self.ports = self._create_ports(integration)
        self._register_gauges(integration)

    def _create_stream_versions(self) -> FleetStreamVersions:
        self.software_versions = SoftwareVersions(
            self.cluster_state.server_registry,
            self.clock,
            lambda: self._coverage("servers"),
            lambda: not self.store_follower.watches_servers,
            self.settings.first_start,
            STREAM_LIFE_MS,
        )
        self.version_records = VersionRecords(
            self.software_versions,
            self.store_table,
            self.tasks,
            self.clock,
            lambda: self._coverage("servers"),
            lambda: self._coverage("own"),
            self.cell_leases.held_cells,
        )
        return FleetStreamVersions(
            self.view,
            self.clock,
            self.tasks,
            self.software_versions,
            self.version_records,
            StreamVersionLinks(self.gossip, self.peer_client),
            self._refresh_servers,
            self.metrics.count_stream_version,
        )

    def run(self) -> int:
        """Serve until told to stop; return the process's exit status."""
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        # Without a handler the signal that the settings have changed would end the process.
        gevent.signal_handler(signal.SIGHUP, self.reload)
        if not self.start():
            return 1
        # Objects created at the start live as long as the process: scanning them in each garbage
        # collection would cost processor time in the middle of requests. A collection before this
        # would take 16 ms and free 2 MB, the remains of creating classes.
        gc.freeze()
        gc.enable()
        self._stop_requested.wait()
        stop_gracefully(self)
        return 0

    def start(self) -> bool:
        """Listen and start all background tasks; return whether all addresses could be bound."""
        self._started_ms = self.clock.now_ms()
        for port in self.ports.all():
            if not port.start():
                return False
        self.tasks.spawn(self.stall_detector.run)
        self.tasks.spawn(self.service_paths.run)
        self.gossip.start()
        self.store_watches = self.store_follower.start(
            self._open_feed, self.tasks, self.settings.bounds.drain_ms
        )
        self.tasks.spawn(self.node_registration.run)
        self.tasks.spawn(self.quarantine_manager.run)
        self.tasks.spawn(self.quarantine_manager.run_decisions)
        self.tasks.spawn(self._fetch_snapshot_loop)
        self.tasks.spawn(self._maintenance_loop)
        self.tasks.spawn(self._fetch_configuration_loop)
        self.cell_leases.start()
        log(
            _LOGGER,
            events.Started(
                node=self.settings.name,
                boot=self.boot_id,
                callers=self.settings.callers_address,
                peer=self.settings.peer_address,
                cores=self.settings.cores,
            ),
        )
        return True

    def reload(self) -> None:
        """Apply changed settings; unusable ones are logged, the last valid ones stay in force."""
        new_settings = self._reread_settings()
        if new_settings is None or new_settings == self.settings:
            return
        if isinstance(new_settings, SettingError):
            log(_LOGGER, events.UnusableSettings(cause=new_settings.line()))
            return
        if new_settings.immutable_settings() != self.settings.immutable_settings():
            log(_LOGGER, events.UnusableSettings(cause="addresses changed"))
            return
        self.settings = new_settings
        self.view.cores = new_settings.cores
        bounds = new_settings.bounds
        self.retry_budget.allowance = RetryAllowance(
            bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_ms
        )
        self.fleet_quota.tolerance = _quota_tolerance(bounds)
        self.cell_leases.update_bounds(bounds)
        log(_LOGGER, events.Reloaded(seeds=",".join(new_settings.seeds)))

    def is_ready(self) -> bool:
        """Return whether callers should be sent here: a node without routes refuses them all."""
        return (
            not self.is_leaving
            and self.cluster_state.route_table is not None
            and self.store_watches is not None
            and (self.store_watches.servers.has_been_loaded or self.peer_client.has_snapshot)
            and not self._starts_behind_peers()
        )

    def _starts_behind_peers(self) -> bool:
        """Return whether this node is starting, and its peers have a newer configuration.

        The store may serve an older copy, in which a route that they serve is missing.
        """
        is_starting = self.clock.now_ms() - self._started_ms < START_MS
        return is_starting and self._is_behind_peers()

    def _is_behind_peers(self) -> bool:
        own_version = self.config_version()
        heartbeats = self.view.heartbeats(self.clock.now_ms())
        return any(heartbeat.config_version > own_version for heartbeat in heartbeats)

    def _has_heard_peers(self) -> bool:
        """Return whether this node has heard what its peers serve, or has waited long enough."""
        now_ms = self.clock.now_ms()
        if now_ms - self._started_ms >= HEAR_PEERS_MS:
            return True
        peers = self.view.record_by_name.keys() - {self.settings.name}
        return self.store_watches.own.has_been_loaded and all(
            self.view.heartbeat_age_ms(name, now_ms) is not None for name in peers
        )

    def heartbeat(self) -> Heartbeat:
        """Return this node's heartbeat."""
        self._heartbeat_sequence += 1
        claims = self.cell_leases.claims()
        self.view.record_sent(self._heartbeat_sequence, claims, self.clock.now_ms())
        return Heartbeat(
            record=self._node_record(),
            sequence=self._heartbeat_sequence,
            is_ready=self.is_ready(),
            is_leaving=self.is_leaving,
            config_version=self.config_version(),
            is_store_reachable=self.store_watches is not None
            and self.store_watches.reaches_store(),
            work_by_server=self.in_flight.work_by_server,
            retry_usage_by_service=self.retry_budget.usage_by_service(self.clock.now_ms()),
            departed_servers=self.cluster_state.recently_departed_servers(),
            versions=self.cluster_state.recent_versions(),
            claims=claims,
            residency=self.cell_leases.own_residency(),
            acks=self.view.holder_acks(),
            added_servers=self.cluster_state.recently_added_servers(),
            overloaded_runners=self.cell_leases.overloaded_runners(),
            lag_ms=round(self.stall_detector.lag_ms),
            is_active=self.activity.refresh(),
            retry_history=self.shared_retries.retry_history(),
            crashes=self.quarantine_manager.own_crashes(),
            quarantined_fingerprints=self.quarantine_manager.announced_quarantined(),
            parts_crashes=self.quarantine_manager.own_parts_crashes(),
            sound_parts=self.quarantine_manager.own_sound_parts(),
            quota_usage_by_customer=self.shared_quota.usage_by_customer(),
            limit_by_server=self.server_limits.announced_limits(),
            usage_by_limited_server=self.server_limits.usage_by_server(),
            unreachable_services=self.service_paths.lost_services(),
            rejections_by_brittle_server=self.server_limits.announced_rejections(),
            keeps_stream_versions=True,
            pace_by_server=self.pace_exchange.announced_paces(self.view.is_small()),
            runner_ms_by_customer=self.customer_shares.own_totals_ms(),
            store_era=self.store_table.era(),
        )

    def _work_delta(self) -> WorkDelta:
        """Return what has changed in this node's work since the last call."""
        self._heartbeat_sequence += 1
        changed = self.in_flight.pop_changed()
        return WorkDelta(self.settings.name, self.boot_id, self._heartbeat_sequence, changed)

    def _send_usage(self) -> None:
        customers = self.shared_quota.pop_changed_usage()
        limits, servers = self.server_limits.pop_changes()
        rejections = self.server_limits.pop_new_rejections()
        if customers or limits or servers or rejections:
            self.gossip.send_usage_delta(
                UsageDelta(self.settings.name, self.boot_id, customers, limits, servers, rejections)
            )

    def _requests_at(self, life: ServerLife) -> int:
        """Return the requests of all nodes at a server, as far as this node knows."""
        own = self.in_flight.work_at(life).requests
        return own + self.view.work_at(life, self.clock.now_ms()).requests

    def _slots_of(self, life: ServerLife) -> int:
        server = self.cluster_state.server_registry.server_by_life.get(life)
        return server.max_concurrent_requests if server is not None else 1

    def _quota_rate_of(self, customer: str) -> float | None:
        """Return the rate of a customer's quota; ``None`` if it has none in tokens.

        Quotas in requests say little of how long the runners are used.
        """
        route_table = self.cluster_state.route_table
        quota = route_table.quota_by_customer.get(customer) if route_table is not None else None
        return quota.rate_per_s if quota is not None and quota.counts_tokens else None

    def _is_customer(self, name: str) -> bool:
        """Return whether the configuration has a customer."""
        route_table = self.cluster_state.route_table
        return route_table is not None and name in route_table.customer_names

    def _handle_usage_delta(self, delta: UsageDelta) -> None:
        self.shared_quota.handle_delta(delta)
        self.server_limits.handle_delta(delta)

    def _is_end_expected(self, life: ServerLife) -> bool:
        """Return whether a server that refuses connections has not crashed."""
        registry = self.cluster_state.server_registry
        return registry.has_announced_leave(life) or self._is_path_lost(life)

    def _is_path_lost(self, life: ServerLife) -> bool:
        """Return whether this node reaches no server of a service that its peers reach."""
        server = self.cluster_state.server_registry.server_by_life.get(life)
        if server is None or not self.service_paths.check_is_lost(server.service, failures=2):
            return False
        self.tasks.sleep(PEER_CHECK_MS)
        return self.peer_forwarder.has_peer(server.service)

    def _check_services_lost_by(self, heartbeat: Heartbeat) -> None:
        """Check the services that a peer has just lost: this node must know whether it has too."""
        if not heartbeat.unreachable_services:
            self._lost_services_by_peer.pop(heartbeat.name, None)
            return
        lost = frozenset(heartbeat.unreachable_services)
        for service in lost - self._lost_services_by_peer.get(heartbeat.name, frozenset()):
            self.service_paths.record_unreachable(service)
        self._lost_services_by_peer[heartbeat.name] = lost

    def _handle_path_change(self, service: str) -> None:
        """Announce whether this node reaches a service, and use all its servers again if so."""
        if not self.service_paths.is_lost(service):
            for server in self.cluster_state.server_registry.servers_of(service):
                self.health_tracker.end_pause(server.life)
        self.gossip.schedule_broadcast()

    def _handle_server_leaving(self, life: ServerLife, source: str) -> None:
        """Stop using a server that states that it is shutting down, and tell the peers.

        :param source: the answer that says so.
        """
        registry = self.cluster_state.server_registry
        is_used = registry.is_accepting_work(life)
        registry.record_announced_leave(life, self.clock.now_ms(), source)
        if is_used:
            self.connection_pools.close_idle(life)
            self.cell_leases.wake_planner()
            self.gossip.schedule_broadcast()

    def _refresh_servers(self) -> None:
        if self.store_watches is not None:
            self.store_watches.servers.request_soon()

    def _handle_store_return(self) -> None:
        if self.store_watches is not None:
            self.store_watches.read_again()
            self.gossip.send_round()

    def _handle_announced_era(self, era: int) -> None:
        """Read the store's rows again if a peer has heard that it has lost some.

        A node of a large fleet asks the store seldom, and its waiting request may be on a
        connection that has fallen silent.
        """
        if era > max(self._announced_era, self.store_table.era()):
            self._announced_era = era
            if self.store_watches is not None:
                self.store_watches.read_again()

    def _handle_own_row(self, row: ChangedRow) -> None:
        if not self.quarantine_manager.apply_row(row) and not self.version_records.apply_row(row):
            self.cell_leases.handle_row(row)

    def _handle_own_rows_lost(self) -> None:
        self.node_registration.check_soon()
        self.version_records.handle_rows_lost()
        self.quarantine_manager.handle_rows_lost()

    def _handle_server_row(self, server_id: str) -> None:
        self.software_versions.record_server_row(server_id)

    def _handle_begun_streams(self, begun: BegunStreams) -> None:
        self.stream_versions.handle_begun(begun)

    def _coverage(self, kind: str) -> Coverage | None:
        """Return for which time the rows of a collection are known."""
        watch = getattr(self.store_watches, kind, None)
        return watch.coverage if watch is not None else None

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.store_follower.handle_heartbeat(heartbeat)
        self._handle_announced_era(heartbeat.store_era)
        self._check_services_lost_by(heartbeat)
        self.shared_quota.handle_heartbeat(heartbeat)
        self.server_limits.handle_heartbeat(heartbeat)
        self.pace_exchange.handle_heartbeat(heartbeat)
        self.customer_shares.handle_heartbeat(heartbeat)
        self.quarantine_manager.apply_announced(
            heartbeat.name,
            heartbeat.crashes,
            heartbeat.quarantined_fingerprints,
            heartbeat.parts_crashes,
            heartbeat.sound_parts,
        )
        if self.cluster_state.handle_heartbeat(heartbeat):
            self.software_versions.record_announced()
            self._refresh_servers()

    def _open_feed(self) -> ChangeFeed:
        return self._integration.feed()

    def _announce_store_changes(self) -> None:
        """Announce to the peers what this node has just read from the store."""
        self.cell_leases.wake_planner()
        self.gossip.send_round()

    def _register_gauges(self, integration: PlatformIntegration) -> None:
        def gauge(name: str, help_text: str, read: Callable[[], float]) -> None:
            self.metrics.add_gauge(name, help_text, read)

        cluster_state, now_ms = self.cluster_state, self.clock.now_ms
        answers, requests = self.held_bytes.answers, self.held_bytes.requests
        gauge("held_answer_bytes", "Bytes of answers held for callers.", lambda: answers.total)
        gauge("held_body_bytes", "Bytes of requests held.", lambda: requests.total)
        gauge(
            "slow_callers_ended",
            "Callers cut off since they read too slowly.",
            lambda: answers.ended_count,
        )
        gauge(
            "answers_too_long",
            "Answers of servers that were given up since they exceeded a bound.",
            lambda: self.connection_pools.too_many_bytes_count,
        )
        gauge(
            "bodies_refused",
            "Requests refused since too many bytes are held.",
            lambda: requests.refused_count,
        )
        gauge(
            "incomplete_requests_ended",
            "Incomplete requests refused since others needed the memory.",
            lambda: requests.ended_count,
        )
        connections = self.caller_connections
        gauge("caller_connections", "Connections of callers.", lambda: len(connections))
        gauge(
            "caller_connections_closed",
            "Connections closed since others needed them.",
            lambda: connections.closed_count,
        )
        gauge(
            "caller_connections_refused",
            "Connections refused since all others were serving requests.",
            lambda: connections.refused_count,
        )
        gauge("ready", "Whether callers should come here.", lambda: float(self.is_ready()))
        slow_runners = "Runners that are slower than the median of their cell."
        gauge("slow_runners", slow_runners, lambda: float(self.pace_exchange.slow_count()))
        gauge("config_version", "Configuration in force.", lambda: self.config_version())
        gauge(
            "servers",
            "Backend servers known.",
            lambda: len(cluster_state.server_registry.server_by_life),
        )
        gauge(
            "excluded_servers",
            "Registered backend servers that get no new requests.",
            cluster_state.server_registry.excluded_count,
        )
        gauge("peers", "Other nodes heard.", lambda: len(self.view.heartbeats(now_ms())))
        gauge(
            "callers_named",
            "Nodes last named to callers, of all data centres.",
            lambda: sum(self.address_directory.advertised_counts().values()),
        )
        gauge(
            "quarantined",
            "Requests that reach no server, since servers ended under them.",
            lambda: len(self.quarantine_manager.suspects.quarantined()),
        )
        gauge(
            "quarantined_parts",
            "Parts of prompts whose requests reach no server, since servers ended under them.",
            lambda: len(self.quarantine_manager.parts.quarantined()),
        )
        gauge(
            "limited_servers",
            "Servers that name a limit for the requests of all nodes.",
            lambda: float(self.server_limits.limited_count()),
        )
        gauge(
            "resting_servers",
            "Servers that have asked this node for rest.",
            lambda: float(self.server_limits.resting_count()),
        )
        gauge(
            "unreachable_services",
            "Services of which no server accepts a connection from this node.",
            lambda: float(len(self.service_paths.lost_services())),
        )
        gauge("duties", "Duties held.", lambda: len(self.cell_leases.claims()))
        gauge("in_progress", "Requests in progress.", lambda: self.ports.callers.active_count)
        gauge("store_calls", "Calls to the store since the start.", integration.store_calls)
        gauge("store_era", "Era that the store states; 0: none.", self.store_table.era)
        for kind in ("operator", "servers", "own"):
            gauge(
                f"{kind}_answer_age_seconds",
                f"Since the store last answered a question about rows of the {kind}; -1: never.",
                lambda kind=kind: self._answer_age_s(kind),
            )
        gauge(
            "connections_opened",
            "Connections to servers opened.",
            lambda: self.connection_pools.opened_count,
        )
        gauge("report_bytes", "Bytes of reports sent.", lambda: self.gossip.sent_bytes)

    def _answer_age_s(self, kind: str) -> float:
        age_ms = self._answer_age_ms(kind)
        return -1.0 if age_ms is None else age_ms / 1000

    def _answer_age_ms(self, kind: str) -> int | None:
        watch = getattr(self.store_watches, kind, None)
        return watch.answer_age_ms() if watch is not None else None

    def config_version(self) -> int:
        """Return the version of the configuration in force; 0 without one."""
        return (
            self.cluster_state.route_table.version
            if self.cluster_state.route_table is not None
            else 0
        )

    def configuration_status(self) -> ConfigurationStatus:
        """Return how current the configuration in force is."""
        watches = self.store_watches
        is_current = (
            watches is not None
            and watches.operator.is_loaded
            and not watches.operator.is_receiving()
            and watches.reaches_store()
            and self._has_heard_peers()
            and not self._is_behind_peers()
        )
        return ConfigurationStatus(is_current, self._answer_age_ms("operator"))

    def _handle_adapter_use_change(self) -> None:
        """Notify the lease holders soon: others need a slot that is no longer in use."""
        if self.cell_leases.holds_all():
            self.cell_leases.wake_planner()
        else:
            self.gossip.schedule_work_delta(self.cell_leases.other_holders())

    def _handle_work_change(self, life: ServerLife) -> None:
        """Announce soon what this node has at a brittle server, which must not be overfilled."""
        if self.server_limits.is_brittle(life):
            self.gossip.schedule_work_delta(self.view.active_peer_names())

    def _node_record(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(
            settings.name,
            self.boot_id,
            settings.data_centre,
            settings.callers_address,
            settings.peer_address,
            settings.report_address,
            settings.cores,
        )

    def _create_ports(self, integration: PlatformIntegration) -> Ports:
        self._integration = integration
        settings = self.settings
        registry, health_tracker = self.cluster_state.server_registry, self.health_tracker
        plain_chooser = PlainServerChooser(
            registry,
            self.in_flight,
            self.view,
            health_tracker,
            self.server_limits,
            self.rng,
            settings.data_centre,
        )
        request_log = RequestLog(
            self.clock,
            self.metrics,
            lambda: self._answer_age_ms("servers"),
            lambda: self.configuration_status().age_ms,
            lambda: self.backlog.reports_age_ms(self.clock.now_ms()),
        )
        self.runner_memory = RunnerMemory(self.backlog, on_decision=request_log.log_memory_decision)
        engine_chooser = RunnerChooser(
            registry,
            self.backlog,
            health_tracker,
            self.server_limits,
            PlacementClient(self),
            self.clock,
            self.rng,
            settings.data_centre,
            self.runner_memory,
        )
        self.gateway = Gateway(
            self.clock,
            integration.dialect,
            lambda: self.cluster_state.route_table,
            self.connection_pools,
            self.in_flight,
            self.backlog,
            self.shared_retries,
            self.quarantine_manager,
            plain_chooser,
            engine_chooser,
            self.rng,
            request_log,
            self.server_limits,
            self.service_paths,
            PeerForwarding(
                self.clock,
                integration.dialect,
                self.forwarding_pools,
                self.peer_forwarder,
                request_log,
                self.stream_versions,
            ),
            self.stream_versions,
            self.configuration_status,
            self.shared_quota,
            self._handle_server_leaving,
            self.runner_memory,
            self.customer_usage,
        )
        self.address_directory = AddressDirectory(
            self.view,
            self.clock,
            settings.callers_address,
            self.is_ready,
            settings.bounds.address_ttl_ms,
            settings.data_centre,
            lambda: self.stall_detector.lag_ms,
            self.service_paths.lost_services,
        )
        peer_api = PeerApi(
            self.cluster_state,
            self.store_follower.snapshot,
            self.cell_leases.answer_slot_request,
            self.stream_versions.answer,
            self.gateway.handle_forwarded,
        )
        control_connections = ConnectionLimit(control_limit(settings.max_sockets))
        control_held = HeldBytes.for_memory(int(CONTROL_MEMORY_SHARE * settings.memory_bytes))
        return Ports(
            callers=HttpServer(
                settings.callers_address,
                self.gateway.handle,
                self._message_limits,
                self.clock,
                held=self.held_bytes,
                connections=self.caller_connections,
            ),
            ready=HttpServer(
                settings.ready_address,
                integration.readiness(self.is_ready),
                MessageLimits,
                self.clock,
                held=control_held,
                connections=control_connections,
            ),
            directory=HttpServer(
                settings.directory_address,
                integration.directory(self.address_directory.choose),
                MessageLimits,
                self.clock,
                held=control_held,
                connections=control_connections,
            ),
            peers=HttpServer(
                settings.peer_address,
                peer_api.handle,
                lambda: peer_message_limits(self._message_limits()),
                self.clock,
                held=self.held_bytes,
                connections=ConnectionLimit(peers_limit(settings.max_sockets)),
            ),
            metrics=HttpServer(
                settings.metrics_address,
                self.metrics.handle,
                MessageLimits,
                self.clock,
                held=control_held,
                connections=control_connections,
            ),
        )

    def _message_limits(self) -> MessageLimits:
        route_table = self.cluster_state.route_table
        return route_table.limits if route_table is not None else MessageLimits()

    def _fetch_snapshot_loop(self) -> None:
        """Fetch a peer's snapshot if the store does not answer at the start."""
        self.tasks.sleep(PEER_SNAPSHOT_DELAY_MS)
        while not self.is_ready() and not self.is_leaving:
            self.peer_client.fetch_snapshot(
                self.settings.seeds, self.settings.peer_address, self.store_follower
            )
            self.tasks.sleep(PEER_SNAPSHOT_DELAY_MS)

    def _maintenance_loop(self) -> None:
        while True:
            self.tasks.sleep(MAINTENANCE_INTERVAL_MS)
            # The settings file may change without a signal.
            self.reload()
            self.connection_pools.close_stale()
            self.forwarding_pools.close_stale()
            self.store_watches.servers.end_overlong_pause()
            self.stream_versions.maintain()
            self._end_refuted_departures()
            for life in self.cluster_state.server_registry.pop_removed(self.clock.now_ms()):
                self.cell_leases.residency.forget(life)
                self.connection_pools.close_idle(life)
                self.health_tracker.forget(life)
                self.backlog.forget(life)
            registered = frozenset(self.cluster_state.server_registry.server_by_life)
            self.server_limits.forget_unused(registered)
            self.pace_exchange.maintain(registered)

    def _end_refuted_departures(self) -> None:
        lapse_ms = round(ENTRY_LAPSE_HEARTBEATS * self.settings.bounds.server_heartbeat_ms)
        known_until_ms = self.store_watches.servers.coverage.until_ms
        if self.cluster_state.server_registry.end_refuted_departures(known_until_ms, lapse_ms):
            self.cell_leases.wake_planner()

    def _fetch_configuration_loop(self) -> None:
        """Fetch newer configurations from peers.

        This is a task of its own: each unresponsive peer delays it by a second, and as a part of
        the maintenance loop it delayed the reading of changed settings by 4 s.
        """
        while True:
            self.tasks.sleep(MAINTENANCE_INTERVAL_MS)
            watches = self.store_watches
            may_come_from_store = watches is not None and watches.reaches_store()
            self.peer_client.fetch_newer_configuration(
                self.cluster_state, may_come_from_store and not self._starts_behind_peers()
            )


def peer_message_limits(callers: MessageLimits) -> MessageLimits:
    """Return the limits for peers, which may forward any request of a caller.

    :param callers: the limits for callers.
    """
    own = MessageLimits()
    head_bytes = max(callers.head_bytes, own.head_bytes)
    return attrs.evolve(
        own,
        head_bytes=int(FORWARDED_LINE_GROWTH * head_bytes) + FORWARDED_HEAD_BYTES,
        body_bytes=max(callers.body_bytes, own.body_bytes),
    )


def _quota_tolerance(bounds: PeerBounds) -> QuotaTolerance:
    return QuotaTolerance(bounds.quota_window_ms, bounds.quota_overshoot, bounds.quota_slack)
