"""Starts, runs and stops one entry process."""

from __future__ import annotations

import gc
import logging
import random
import signal
from collections.abc import Callable
from typing import Protocol

import attrs
import gevent
from gevent.event import Event

from ..core.clock import Clock, MonotonicClock
from ..core.tasks import Tasks
from ..fleet.gossip import Gossip
from ..fleet.models import Heartbeat, NodeRecord, WorkDelta
from ..fleet.view import FleetView
from ..gateway.backlog import Backlog
from ..gateway.budget import SharedRetryBudget
from ..gateway.handler import Gateway
from ..gateway.models import Dialect
from ..gateway.plain_server_chooser import PlainServerChooser
from ..gateway.request_log import RequestLog
from ..gateway.runner_chooser import RunnerChooser
from ..helpers.gevent_tasks import GeventTasks
from ..helpers.ids import new_id
from ..helpers.settings import SettingError
from ..logs import events, log
from ..orders.models import RunnerControl
from ..quarantine.crash_probe import CrashProbe
from ..quarantine.manager import QuarantineManager
from ..routing.budget import FleetRetryBudget, RetryAllowance
from ..routing.health import HealthTracker
from ..routing.in_flight import InFlight
from ..storage.models import ChangedRow, ChangeFeed, RawTable
from ..storage.settling import SettlingTable
from ..transport.client import Pools
from ..transport.models import MessageLimits
from ..transport.server import Handler, Port
from .activity import Activity
from .address import AddressBook
from .beliefs import Beliefs
from .cards import CardKeeper
from .duties import Duties
from .following import Decoders, Followed, Following
from .metrics import EntryMetrics
from .peers import PeerApi, PeerClient
from .placing import Placing
from .pulse import Pulse
from .settings import EntrySettings
from .stopping import stop_gracefully

_LOGGER = logging.getLogger(__name__)
LEARN_AFTER_MS = 400
"""How long a node that starts waits for the store before it asks other nodes: some ten answers."""

SWEEP_EVERY_MS = 500
"""How often resting connections and doubtful servers are looked through."""


class Outside(Protocol):
    """What a deployment's translation provides."""

    dialect: Dialect
    decoders: Decoders

    def raw_table(self) -> RawTable:
        """Return the table service."""

    def feed(self) -> ChangeFeed:
        """Return a change feed with a connection of its own."""

    def runners(self) -> RunnerControl:
        """Return the way to the runners."""

    def store_calls(self) -> int:
        """Return how many calls to the store were made."""

    def readiness(self, ready: Callable[[], bool]) -> Handler:
        """Return the handler of the readiness address."""

    def directory(self, choose: Callable[[str | None], tuple[list[str], float]]) -> Handler:
        """Return the handler of the directory address.

        :param choose: takes the data centre that a caller says it is in.
        """


@attrs.define(slots=True)
class Ports:
    """The addresses at which a process listens."""

    callers: Port
    ready: Port
    directory: Port
    peers: Port
    metrics: Port

    def all(self) -> tuple[Port, ...]:
        """Return all ports; callers are taken last, when everything else answers."""
        return (self.ready, self.directory, self.peers, self.metrics, self.callers)


class EntryDaemon:
    """One entry process: its beliefs, its ports and its loops."""

    def __init__(
        self,
        settings: EntrySettings,
        outside: Outside,
        reread: Callable[[], EntrySettings | SettingError | None] = lambda: None,
        tasks: Tasks | None = None,
    ) -> None:
        self.settings = settings
        self._reread = reread
        self.boot = new_id("b")
        self.clock: Clock = MonotonicClock()
        self.tasks: Tasks = tasks or GeventTasks()
        self.rng = random.Random()
        self.leaving = False
        self.view = FleetView(settings.name, settings.cores)
        self.beliefs = Beliefs(self.clock)
        self.in_flight = InFlight(self._adapter_use_changed)
        self.backlog = Backlog(self.in_flight, self.view)
        self.conditions = HealthTracker()
        self.pools = Pools(self.clock)
        self.metrics = EntryMetrics()
        self.pulse = Pulse(self.clock, self.tasks, settings.bounds.thaw_ms)
        self._sequence = 0
        self._stop = Event()
        bounds = settings.bounds
        self.budget = FleetRetryBudget(
            RetryAllowance(bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_ms),
            None if settings.first_start else self.clock.now_ms(),
        )
        self.retries = SharedRetryBudget(
            self.budget, self.view, self.clock, lambda: self.activity.active
        )
        self.table = SettlingTable(outside.raw_table(), self.tasks)
        self.gossip = Gossip(
            settings.report_address,
            self.view,
            self.report,
            self._take_report,
            self.tasks,
            self.clock,
            self._work_change,
        )
        self.quarantine = QuarantineManager(
            settings.name,
            CrashProbe(self.pools, self.clock),
            self.table,
            self.tasks,
            self.clock,
            self.gossip.schedule_broadcast,
        )
        self.peers = PeerClient(self.view, self.clock, outside.decoders.table)
        self.duties = Duties(self, outside.runners())
        self.following = Following(
            outside.decoders,
            self.beliefs,
            self.view,
            self.clock,
            self._own_row,
            self.pools.forget,
            self._news,
            self.gossip.schedule_broadcast,
        )
        self.activity = Activity(
            self.view,
            self.in_flight,
            self.budget,
            self.clock,
            lambda: self.following.watches,
            self._look_for_servers,
        )
        self.followed: Followed | None = None
        self.cards = CardKeeper(self._card, self.table, self.view, self.tasks, self.clock)
        self.ports = self._ports(outside)
        self._watch_gauges(outside)

    def run(self) -> int:
        """Serve until the word to stop; return the process's exit status."""
        gevent.signal_handler(signal.SIGTERM, self._stop.set)
        gevent.signal_handler(signal.SIGINT, self._stop.set)
        # Without a handler the word that the settings have changed would end the process.
        gevent.signal_handler(signal.SIGHUP, self.reload)
        if not self.start():
            return 1
        # Start-up objects live as long as the process; looking through them again and again costs
        # processor time in the middle of requests.
        gc.collect()
        gc.freeze()
        self._stop.wait()
        stop_gracefully(self)
        return 0

    def start(self) -> bool:
        """Listen and begin all loops; return whether all addresses could be bound."""
        for port in self.ports.all():
            if not port.start():
                return False
        self.tasks.spawn(self.pulse.run)
        self.gossip.start()
        self.followed = self.following.start(self._feed, self.tasks, self.settings.bounds.drain_ms)
        self.tasks.spawn(self.cards.run)
        self.tasks.spawn(self.quarantine.run)
        self.tasks.spawn(self._learn_from_peers)
        self.tasks.spawn(self._sweep_for_good)
        self.tasks.spawn(self._fetch_for_good)
        self.duties.start()
        log(
            _LOGGER,
            events.Started(
                node=self.settings.name,
                boot=self.boot,
                callers=self.settings.callers_address,
                peer=self.settings.peer_address,
                cores=self.settings.cores,
            ),
        )
        return True

    def reload(self) -> None:
        """Take changed settings; unusable ones are logged and the last good ones stay in force."""
        changed = self._reread()
        if changed is None or changed == self.settings:
            return
        if isinstance(changed, SettingError):
            log(_LOGGER, events.UnusableSettings(cause=changed.line()))
            return
        if changed.listens_at() != self.settings.listens_at():
            log(_LOGGER, events.UnusableSettings(cause="addresses changed"))
            return
        self.settings = changed
        self.view.cores = changed.cores
        bounds = changed.bounds
        self.budget.allowance = RetryAllowance(
            bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window_ms
        )
        self.duties.bounds_changed(bounds)
        log(_LOGGER, events.Reloaded(seeds=",".join(changed.seeds)))

    def ready(self) -> bool:
        """Tell whether callers should come here: a node that knows no routes refuses all."""
        return (
            not self.leaving
            and self.beliefs.table is not None
            and self.followed is not None
            and (self.followed.servers.loaded or self.peers.taught)
        )

    def report(self) -> Heartbeat:
        """Return this node's word about itself."""
        self._sequence += 1
        claims = self.duties.claims()
        self.view.record_sent(self._sequence, claims, self.clock.now_ms())
        return Heartbeat(
            record=self._card(),
            sequence=self._sequence,
            is_ready=self.ready(),
            is_leaving=self.leaving,
            config_version=self.report_version(),
            is_store_reachable=self.followed is not None and self.followed.reaches_store(),
            work_by_server=self.in_flight.work_by_server,
            retry_usage_by_service=self.budget.usage_by_service(self.clock.now_ms()),
            departed_servers=self.beliefs.recent_left(),
            versions=self.beliefs.recent_versions(),
            claims=claims,
            residency=self.duties.told_residency(),
            acks=self.view.holder_acks(),
            added_servers=self.beliefs.recent_came(),
            overloaded_runners=self.duties.crowded(),
            lag_ms=round(self.pulse.lag_ms),
            is_active=self.activity.look(),
            retry_history=self.retries.retry_history(),
            crashes=self.quarantine.own_crashes(),
            quarantined_fingerprints=self.quarantine.announced_quarantined(),
        )

    def _work_change(self) -> WorkDelta:
        """Return what has changed of this node's work since this was last asked."""
        self._sequence += 1
        changed = self.in_flight.pop_changed()
        return WorkDelta(self.settings.name, self.boot, self._sequence, changed)

    def _look_for_servers(self) -> None:
        if self.followed is not None:
            self.followed.servers.poke()

    def _own_row(self, row: ChangedRow) -> None:
        if not self.quarantine.apply_row(row):
            self.duties.own_row(row)

    def _take_report(self, report: Heartbeat) -> None:
        self.following.take_report(report)
        self.quarantine.apply_announced(
            report.name, report.crashes, report.quarantined_fingerprints
        )
        if self.beliefs.take_report(report) and self.followed is not None:
            self.followed.servers.poke()

    def _feed(self) -> ChangeFeed:
        return self._outside.feed()

    def _news(self) -> None:
        """Tell the others what the store has just told this node."""
        self.duties.wake()
        self.gossip.send_round()

    def _watch_gauges(self, outside: Outside) -> None:
        def of(name: str, help_text: str, read: Callable[[], float]) -> None:
            self.metrics.watch(name, help_text, read)

        beliefs, now_ms = self.beliefs, self.clock.now_ms
        of("ready", "Whether callers should come here.", lambda: float(self.ready()))
        of("config_version", "Configuration in force.", lambda: self.report_version())
        of("servers", "Backend servers known.", lambda: len(beliefs.book.server_by_life))
        of("peers", "Other nodes heard.", lambda: len(self.view.heartbeats(now_ms())))
        of(
            "callers_named",
            "Nodes last named to callers, of all data centres.",
            lambda: sum(self.addresses.named_by_data_centre().values()),
        )
        of(
            "quarantined",
            "Requests that reach no server, since servers ended under them.",
            lambda: len(self.quarantine.suspects.quarantined()),
        )
        of("duties", "Duties held.", lambda: len(self.duties.claims()))
        of("in_progress", "Requests in progress.", lambda: self.ports.callers.active)
        of("store_calls", "Calls to the store since the start.", outside.store_calls)
        for kind in ("operator", "servers", "own"):
            of(
                f"{kind}_answer_age_seconds",
                f"Since the store last answered a question about rows of the {kind}; -1: never.",
                lambda kind=kind: self._answer_age_s(kind),
            )
        of("connections_opened", "Connections to servers opened.", lambda: self.pools.opened)
        of("report_bytes", "Bytes of reports sent.", lambda: self.gossip.sent_bytes)

    def _answer_age_s(self, kind: str) -> float:
        age_ms = self._answer_age_ms(kind)
        return -1.0 if age_ms is None else age_ms / 1000

    def _answer_age_ms(self, kind: str) -> int | None:
        watch = getattr(self.followed, kind, None)
        return watch.answer_age_ms() if watch is not None else None

    def report_version(self) -> int:
        """Return the version of the configuration in force; 0 without one."""
        return self.beliefs.table.version if self.beliefs.table is not None else 0

    def _adapter_use_changed(self) -> None:
        """Tell the holders soon: a place whose use has ended is needed by others."""
        if self.duties.holds_all():
            self.duties.wake()
        else:
            self.gossip.schedule_work_delta(self.duties.other_holders())

    def _card(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(
            settings.name,
            self.boot,
            settings.data_centre,
            settings.callers_address,
            settings.peer_address,
            settings.report_address,
            settings.cores,
        )

    def _ports(self, outside: Outside) -> Ports:
        self._outside = outside
        settings = self.settings
        book, conditions = self.beliefs.book, self.conditions
        plain = PlainServerChooser(
            book, self.in_flight, self.view, conditions, self.rng, settings.data_centre
        )
        engines = RunnerChooser(
            book,
            self.backlog,
            conditions,
            Placing(self),
            self.clock,
            self.rng,
            settings.data_centre,
        )
        self.gateway = Gateway(
            self.clock,
            outside.dialect,
            lambda: self.beliefs.table,
            self.pools,
            self.in_flight,
            self.backlog,
            self.retries,
            self.quarantine,
            plain,
            engines,
            self.rng,
            RequestLog(self.clock, self.metrics, lambda: self._answer_age_ms("servers")),
        )
        self.addresses = AddressBook(
            self.view,
            self.clock,
            settings.callers_address,
            self.ready,
            settings.bounds.address_ttl_ms,
            settings.data_centre,
            lambda: self.pulse.lag_ms,
        )
        peer_api = PeerApi(self.beliefs, self.following.teach, self.duties.answer_placement)
        usual = MessageLimits
        return Ports(
            callers=Port(settings.callers_address, self.gateway.handle, self._limits, self.clock),
            ready=Port(settings.ready_address, outside.readiness(self.ready), usual, self.clock),
            directory=Port(
                settings.directory_address,
                outside.directory(self.addresses.choose),
                usual,
                self.clock,
            ),
            peers=Port(settings.peer_address, peer_api.handle, usual, self.clock),
            metrics=Port(settings.metrics_address, self.metrics.handle, usual, self.clock),
        )

    def _limits(self) -> MessageLimits:
        table = self.beliefs.table
        return table.limits if table is not None else MessageLimits()

    def _learn_from_peers(self) -> None:
        """Learn what the others know when the store does not answer at the start."""
        self.tasks.sleep(LEARN_AFTER_MS)
        while not self.ready() and not self.leaving:
            self.peers.learn(self.settings.seeds, self.settings.peer_address, self.following)
            self.tasks.sleep(LEARN_AFTER_MS)

    def _sweep_for_good(self) -> None:
        while True:
            self.tasks.sleep(SWEEP_EVERY_MS)
            # The file may change without a signal.
            self.reload()
            self.pools.sweep()
            self.followed.servers.look_again()
            for life in self.beliefs.book.pop_removed(self.clock.now_ms()):
                self.duties.residency.forget(life)
                self.pools.forget(life)
                self.conditions.forget(life)
                self.backlog.forget(life)

    def _fetch_for_good(self) -> None:
        """Fetch newer configurations from other nodes.

        Beside everything else: nodes that have fallen silent hold it up for a second each, and
        settings that had changed were read 4 s late.
        """
        while True:
            self.tasks.sleep(SWEEP_EVERY_MS)
            self.peers.fetch_newer(self.beliefs)
