"""Follows what the operator, the servers and the other nodes keep in the store."""

from __future__ import annotations

import base64
import logging
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import orjson
from msgspec import Struct

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..core.tasks import Tasks
from ..discovery.models import BackendServer
from ..fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, SILENT_AFTER_MISSED
from ..fleet.models import Heartbeat, NodeRecord, bounded_cores
from ..fleet.view import FleetView
from ..helpers.hashing import weight
from ..helpers.strict import read
from ..logs import events, log
from ..routing.routes import RouteTable
from ..storage.models import ChangedRow, ChangeFeed
from ..storage.patience import Patience
from ..storage.watch import LEAST_PATIENCE_MS, SILENT_CYCLE_MS, CollectionWatch
from .cluster_state import LONG_AGO_MS, ClusterState

_LOGGER = logging.getLogger(__name__)
NODE_RECORD_PREFIX = "node/"
SERVER_WATCHER_RANK_KEY = "watch servers"
"""By this key nodes are ranked that watch servers."""

SERVERS_PAUSE_SHARE = 0.5
"""Servers write their entries every second or so, nearly always without news: asked at once again,
each node made four calls a second. Asked again after this share of the time in which a leaving
server must be known; nodes ask at different moments and tell each other, so it is known sooner.

The shares of pause, wait, patience, a second answer and a round of reports add up to the whole: a
leave is known in time also when one question stays without an answer."""

SERVERS_WAIT_SHARE = 0.1
"""How long a question for servers waits for changes, as a share of the same time: some entry has
nearly always changed meanwhile, and a longer wait would only hide that nobody answers."""

SERVERS_MIN_ANSWER_TIMEOUT_SHARE = 0.15
"""How much longer its answer is waited for while answers come soon."""

SERVERS_MAX_ANSWER_TIMEOUT_SHARE = 0.5
"""The same in the end, for a store that has become slow. With the pause of an outage this is how
late the end of a silence is noticed: what is missing then stays in use for a moment, and a server
that leaves after it must still be known in time."""

MIN_RESTART_INTERVAL_MS = 3_000
"""How often other nodes' word that they have lost the store makes this one ask anew, at most: a
store that turns a third of the machines away, one after the other, costs the others two calls each
in that time."""

SINGLE_OUTAGE_REPORT_MAX_NODES = 13
"""In a fleet of so many nodes one that has lost the store makes the others ask anew."""

MIN_OUTAGE_REPORTS = 3
"""In a larger one so many: all six that watch the store notice its silence, and one machine that is
cut off from it would cost each of the others two calls."""

MISSING_GRACE_MS = 2_900
"""How long after the last question that the store left unanswered a missing entry is doubted. The
store returned after it; entries of living servers are back two seconds after its return, and from
three seconds after it on a server that is gone must not be used. Counted from when the return is
noticed, it would be used for up to two seconds more."""

UNCONFIRMED_PAUSE_MS = 250
"""Pause between questions while entries are doubted: one that is back must be read in time."""

MIN_OUTAGE_MS = 500
"""An outage that was noticed for less is no reason to doubt that an entry is gone: entries lapse
after two seconds or more, and a silence is noticed within one and a half."""

FULL_RATE_NODES = 7
"""So many nodes ask the store at their own pace. In a larger fleet each pauses longer, so that all
together ask as often as these: 90 nodes made 98 calls a second, most of them for servers. Whoever
finds news tells the others, which then ask at once; a node that hears nobody goes back to its own
pace."""

SERVER_WATCHERS = 6
"""So many nodes ask for servers at their own pace; a leave is known within one pause of theirs, and
they tell everybody at once. Of 90 nodes that each asked now and then, all had asked together and
nobody for 13 s when a server left. Fifty of ninety dead at once leave none of six in 3 of 100."""

LAST_RESORT_FACTOR = 7
"""The others ask so many times more seldom than if all did their part: they are told."""

OWN_PAUSE_MS = 2_500
"""A holder renews its duty every second; who holds it is told by reports between nodes."""


class Decoders(Protocol):
    """Decodes rows that others write; the names of rows are theirs."""

    operator_collection: str
    server_collection: str
    own_collection: str

    def table(self, body: bytes) -> RouteTable | str:
        """Return the routes that a row's bytes hold, or why they can't be used."""

    def routes(self, key: str, body: bytes) -> RouteTable | str | None:
        """Return the routes; a text says why not; ``None``: the row holds something else."""

    def adapter_version(self, key: str, body: bytes) -> AdapterRef | str | None:
        """Return a named adapter version; a text says why not; ``None``: something else."""

    def server(self, key: str, body: bytes) -> BackendServer | str:
        """Return a backend server's entry; a text says why not."""


@attrs.define(slots=True)
class StoreWatches:
    """The watches of one node."""

    operator: CollectionWatch
    servers: CollectionWatch
    own: CollectionWatch

    def is_loaded(self) -> bool:
        """Tell whether everything has been read once."""
        return self.operator.loaded and self.servers.loaded

    def all(self) -> tuple[CollectionWatch, ...]:
        """Return all watches."""
        return (self.operator, self.servers, self.own)

    def reaches_store(self) -> bool:
        """Tell whether the store answers this node.

        A watch that rests, or whose question waits, says nothing of a store that another one has
        found silent since.
        """
        lost_ms = [w.lost_since_ms for w in self.all() if w.lost_since_ms is not None]
        return not lost_ms or any(watch.answered_since(min(lost_ms)) for watch in self.all())

    def restart_waiting_requests(self) -> None:
        """Ask anew whatever waits for changes: the store may have been silent since it was asked.

        Questions about the operator's rows wait for 20 s. Asked at the beginning of a silence of
        six seconds, they left a node without new routes and versions for 12 s after its end.
        """
        for watch in self.all():
            watch.doubt()


class StoreFollower:
    """Keeps beliefs up to date from the store.

    :ivar watches: whether the others rely on this node to ask for servers.
    """

    def __init__(
        self,
        decoders: Decoders,
        cluster_state: ClusterState,
        view: FleetView,
        clock: Clock,
        on_own_row: Callable[[ChangedRow], None],
        on_server_departed: Callable[[ServerLife], None],
        on_change: Callable[[], None],
        on_departure: Callable[[], None] = lambda: None,
    ) -> None:
        self._decoders = decoders
        self._cluster_state = cluster_state
        self._view = view
        self._clock = clock
        self._on_own_row = on_own_row
        self._on_server_departed = on_server_departed
        self._on_change = on_change
        self._on_departure = on_departure
        self._store_watches: StoreWatches | None = None
        self._tasks: Tasks | None = None
        self.watches_servers = True
        self._peers_without_store: set[str] = set()
        self._next_restart_ms = 0
        self._bodies_by_kind: dict[str, dict[str, bytes]] = {
            "operator": {},
            "servers": {},
            "own": {},
        }

    def start(
        self, open_feed: Callable[[], ChangeFeed], tasks: Tasks, drain_ms: int
    ) -> StoreWatches:
        """Begin to follow.

        :param feed: returns a feed with a connection of its own.
        :param drain_ms: how soon a leaving server must be known.
        """
        names = self._decoders
        followed = StoreWatches(
            CollectionWatch(
                open_feed(),
                names.operator_collection,
                tasks,
                self._clock,
                self._handle_operator_row,
                self._notify_store_answers,
                patience=Patience(LEAST_PATIENCE_MS, SILENT_CYCLE_MS),
                on_lost=self._restart_waiting_requests,
                phase_ms=SILENT_CYCLE_MS // 3,
            ),
            CollectionWatch(
                open_feed(),
                names.server_collection,
                tasks,
                self._clock,
                self._handle_server_row,
                self._handle_store_return,
                lambda: self._servers_pause_ms(int(drain_ms * SERVERS_PAUSE_SHARE)),
                # Waited for as long as any question, 21.5 s, one that was asked while the store was
                # silent left all nodes deaf to leaves for 16 s after its return.
                int(drain_ms * SERVERS_WAIT_SHARE),
                Patience(
                    int(drain_ms * SERVERS_MIN_ANSWER_TIMEOUT_SHARE),
                    int(drain_ms * SERVERS_MAX_ANSWER_TIMEOUT_SHARE),
                ),
                self._restart_waiting_requests,
            ),
            CollectionWatch(
                open_feed(),
                names.own_collection,
                tasks,
                self._clock,
                self._handle_own_row,
                self._notify_store_answers,
                lambda: self._shared_pause_ms(OWN_PAUSE_MS),
                patience=Patience(LEAST_PATIENCE_MS, SILENT_CYCLE_MS),
                on_lost=self._restart_waiting_requests,
                phase_ms=SILENT_CYCLE_MS * 2 // 3,
            ),
        )
        self._store_watches = followed
        self._tasks = tasks
        for watch in followed.all():
            tasks.spawn(watch.run)
        return followed

    def _restart_waiting_requests(self) -> None:
        self._store_watches.restart_waiting_requests()

    def _notify_store_answers(self) -> None:
        for watch in self._store_watches.all():
            watch.answers_again()

    def handle_heartbeat(self, report: Heartbeat) -> None:
        """Take what another node says of the store: one that has lost it makes this one ask.

        Of a large fleet only some nodes ask often; the others would not notice a silence.
        """
        lost = not report.is_store_reachable
        news = lost and report.name not in self._peers_without_store
        if lost:
            self._peers_without_store.add(report.name)
        else:
            self._peers_without_store.discard(report.name)
        now_ms = self._clock.now_ms()
        alike = (
            self._view.node_count() <= SINGLE_OUTAGE_REPORT_MAX_NODES
            or len(self._peers_without_store) >= MIN_OUTAGE_REPORTS
        )
        if news and alike and now_ms >= self._next_restart_ms and self._store_watches is not None:
            self._next_restart_ms = now_ms + MIN_RESTART_INTERVAL_MS
            self._store_watches.restart_waiting_requests()

    def _servers_pause_ms(self, pause_ms: int) -> int:
        """Return the pause between questions for servers: a watcher's, or a last resort's.

        Who watches follows from who is heard, so that a silent one is replaced without a word.
        """
        if self._cluster_state.server_registry.has_missing():
            return UNCONFIRMED_PAUSE_MS
        now_ms = self._clock.now_ms()
        shared_ms = self._shared_pause_ms(pause_ms)
        # A node is told by a dozen others in each round: unheard for three it relies on nobody,
        # though each of them may still be alive and have told others.
        self.watches_servers = shared_ms == pause_ms
        if self.watches_servers or not self._view.has_received_within(
            now_ms, SILENT_AFTER_MISSED * HEARTBEAT_INTERVAL_MS
        ):
            return pause_ms
        candidates = [
            report.name
            for report in self._view.heartbeats(now_ms)
            if report.is_store_reachable and not report.is_leaving
        ]
        own = weight(SERVER_WATCHER_RANK_KEY, self._view.name)
        before = sum(weight(SERVER_WATCHER_RANK_KEY, name) > own for name in candidates)
        self.watches_servers = before < SERVER_WATCHERS
        return pause_ms if self.watches_servers else shared_ms * LAST_RESORT_FACTOR

    def _shared_pause_ms(self, pause_ms: int) -> int:
        """Return a pause with which this node does its part of the asking.

        :param pause_ms: of a node in a small fleet.
        """
        heard = len(self._view.heartbeats(self._clock.now_ms()))
        return int(pause_ms * max(1.0, (heard + 1) / FULL_RATE_NODES))

    def snapshot(self) -> bytes:
        """Return all rows that this node has taken, for a node that can't read them itself."""
        rows = [
            [kind, key, base64.b64encode(body).decode()]
            for kind, bodies in self._bodies_by_kind.items()
            for key, body in bodies.items()
        ]
        return orjson.dumps(rows)

    def apply_snapshot(self, data: bytes) -> bool:
        """Take another node's rows; return whether they could be read.

        Versions of rows are not taken with them: what the store says later goes first.
        """
        takers = {
            "operator": self._handle_operator_row,
            "servers": self._handle_server_row,
            "own": self._handle_own_row,
        }
        try:
            rows = [
                (takers[kind], ChangedRow(str(key), 0, base64.b64decode(body)))
                for kind, key, body in orjson.loads(data)
            ]
        except (ValueError, KeyError, TypeError):
            return False
        for take, row in rows:
            take(row)
        return bool(rows)

    def _remember_row(self, kind: str, row: ChangedRow) -> None:
        if row.body is None:
            self._bodies_by_kind[kind].pop(row.key, None)
        else:
            self._bodies_by_kind[kind][row.key] = row.body

    def _handle_operator_row(self, row: ChangedRow) -> None:
        self._remember_row("operator", row)
        if row.body is None:
            return
        table = self._decoders.routes(row.key, row.body)
        if isinstance(table, RouteTable):
            if self._cluster_state.apply_route_table(table, row.body, "store"):
                self._on_change()
            return
        ref = self._decoders.adapter_version(row.key, row.body) if table is None else table
        if isinstance(ref, AdapterRef):
            if self._cluster_state.record_version(ref, "store", self._published_after_ms()):
                self._on_change()
        elif ref is not None:
            # The last good one stays in force.
            log(_LOGGER, events.UnusableRow(row=row.key, cause=ref))

    def _published_after_ms(self) -> int:
        """Return when the version that is being taken was named, at the earliest."""
        at_ms = (
            self._store_watches.operator.changed_after_ms()
            if self._store_watches is not None
            else None
        )
        return LONG_AGO_MS if at_ms is None else at_ms

    def _handle_server_row(self, row: ChangedRow) -> None:
        self._remember_row("servers", row)
        now_ms = self._clock.now_ms()
        book = self._cluster_state.server_registry
        before = book.life_of(row.key)
        took_work = before is not None and book.is_accepting_work(before)
        if row.body is None:
            book.remove(row.key, now_ms)
        else:
            server = self._decoders.server(row.key, row.body)
            if isinstance(server, str):
                book.mark_unreadable(row.key, server)
            else:
                book.put(server, now_ms, row.version)
        # Told once: a server that leaves writes its entry every second for many more.
        if took_work and not book.is_accepting_work(before):
            self._on_server_departed(before)
            self._on_change()
            self._on_departure()
        elif before != book.life_of(row.key):
            self._on_change()

    def _handle_store_return(self) -> None:
        unanswered_ms = [watch.unanswered_ms() for watch in self._store_watches.all()]
        self._notify_store_answers()
        if self._store_watches.servers.out_ms < MIN_OUTAGE_MS:
            return
        until_ms = max(ms for ms in unanswered_ms if ms is not None) + MISSING_GRACE_MS
        self._cluster_state.server_registry.keep_missing_until(until_ms)
        self._tasks.spawn(self._remove_missing_servers, until_ms)

    def _remove_missing_servers(self, until_ms: int) -> None:
        self._tasks.sleep(max(0, until_ms - self._clock.now_ms()))
        if self._cluster_state.server_registry.remove_missing(self._clock.now_ms()):
            self._on_change()
            self._on_departure()

    def _handle_own_row(self, row: ChangedRow) -> None:
        if not row.key.startswith(NODE_RECORD_PREFIX):
            self._on_own_row(row)
            return
        self._remember_row("own", row)
        name = row.key.removeprefix(NODE_RECORD_PREFIX)
        if row.body is None:
            self._view.remove_record(name)
            return
        card = decode_node_record(row.body)
        if isinstance(card, str):
            log(_LOGGER, events.UnusableRow(row=row.key, cause=card))
            return
        self._view.add_record(card)


class NodeRecordFields(Struct):
    """The value of a node's row."""

    name: str
    boot: str
    data_centre: str
    callers: str
    peer: str
    report: str
    cores: Any = None


def decode_node_record(body: bytes) -> NodeRecord | str:
    """Return a node's card, or why it can't be used."""
    fields = read(body, NodeRecordFields)
    if isinstance(fields, str):
        return fields
    return NodeRecord(
        fields.name,
        fields.boot,
        fields.data_centre,
        fields.callers,
        fields.peer,
        fields.report,
        bounded_cores(fields.cores),
    )


def encode_node_record(node_record: NodeRecord) -> dict[str, str | float]:
    """Return the value of a node's row."""
    return {
        "name": node_record.name,
        "boot": node_record.boot,
        "data_centre": node_record.data_centre,
        "callers": node_record.callers_address,
        "peer": node_record.peer_address,
        "report": node_record.report_address,
        "cores": node_record.cores,
    }
