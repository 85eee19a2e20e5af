"""Follows what the operator, the servers and the other nodes write to the store."""

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
from ..storage.answer_timeout import AnswerTimeout
from ..storage.models import ChangedRow, ChangeFeed
from ..storage.watch import MIN_ANSWER_TIMEOUT_MS, UNRESPONSIVE_REQUEST_INTERVAL_MS, CollectionWatch
from .cluster_state import LONG_AGO_MS, ClusterState

_LOGGER = logging.getLogger(__name__)
NODE_RECORD_PREFIX = "node/"
SERVER_WATCHER_RANK_KEY = "watch servers"
"""Hash key by which nodes are ranked as watchers of servers."""

SERVERS_PAUSE_SHARE = 0.5
"""Pause between requests for servers, as a share of the time within which a leaving server must be
known. Servers write their entries about every second, nearly always without a relevant change:
without a pause each node would make four calls a second. Nodes ask at different moments and notify
each other, so a leaving server is known sooner.

The shares of the pause, the wait, the answer timeout, a second answer and a heartbeat round add up
to the whole: a leaving server is known in time even if one request remains unanswered."""

SERVERS_WAIT_SHARE = 0.1
"""How long a request for servers waits for changes, as a share of the same time: some entry has
nearly always changed meanwhile, and a longer wait would only hide that the store does not
answer."""

SERVERS_MIN_ANSWER_TIMEOUT_SHARE = 0.15
"""How much longer its answer is waited for while the store answers quickly, as a share of the same
time."""

SERVERS_MAX_ANSWER_TIMEOUT_SHARE = 0.5
"""The same for a store that has become slow. Together with the pause during an outage this is how
late the end of an outage is noticed: servers whose entries are missing then stay in use for a
moment, and a server that leaves after the outage must still be known in time."""

MIN_RESTART_INTERVAL_MS = 3_000
"""Shortest interval between two restarts of this node's waiting requests because peers have lost
the store: a store that rejects a third of the machines, one after the other, costs each of the
others two calls in that time."""

SINGLE_OUTAGE_REPORT_MAX_NODES = 13
"""In a fleet of at most this many nodes a single node that has lost the store makes the others
restart their waiting requests."""

MIN_OUTAGE_REPORTS = 3
"""In a larger fleet this many nodes must have lost it: all six that watch the store notice its
outage, and a single machine that is cut off from it would cost each of the others two calls."""

MISSING_GRACE_MS = 2_900
"""How long after the last request that the store left unanswered a missing entry counts as
unconfirmed. The store returned after that request; entries of live servers are back two seconds
after its return, and from three seconds after it a server that is gone must not be used. Counted
from when the return is noticed, such a server would be used for up to two seconds more."""

UNCONFIRMED_PAUSE_MS = 250
"""Pause between requests while entries are unconfirmed: an entry that is back must be read in
time."""

MIN_OUTAGE_MS = 500
"""An outage that ended sooner than this after it was noticed is no reason to treat a missing entry
as unconfirmed: entries expire after two seconds or more, and an outage is noticed within one and a
half."""

FULL_RATE_NODES = 7
"""This many nodes ask the store at the full rate. In a larger fleet each pauses longer, so that all
together ask as often as these: 90 nodes would otherwise make 98 calls a second, most of them for
servers. A node that finds a change notifies its peers, which then ask at once; a node that receives
no heartbeats returns to the full rate."""

SERVER_WATCHERS = 6
"""This many nodes ask for servers at the full rate: a leaving server is known within one of their
pauses, and they notify all nodes at once. If each of 90 nodes asked now and then instead, all might
ask together and none for 13 s when a server leaves. If fifty of ninety nodes fail at once, none of
the six is left in 3 of 100 cases."""

LAST_RESORT_FACTOR = 7
"""The other nodes pause this many times longer than if all shared the requests: they are
notified."""

OWN_PAUSE_MS = 2_500
"""Pause between requests for node records and cell leases. A holder renews its lease every second,
but nodes learn from heartbeats who holds it."""


class Decoders(Protocol):
    """Decodes rows that others write; how these are named is up to the platform."""

    operator_collection: str
    server_collection: str
    own_collection: str

    def table(self, body: bytes) -> RouteTable | str:
        """Return the routes that a row's bytes hold, or why they can't be used."""

    def routes(self, key: str, body: bytes) -> RouteTable | str | None:
        """Return the routes, or why they can't be used; ``None``: the row is another one."""

    def adapter_version(self, key: str, body: bytes) -> AdapterRef | str | None:
        """Return a published version, or why it can't be used; ``None``: the row is another one."""

    def server(self, key: str, body: bytes) -> BackendServer | str:
        """Return a backend server's entry, or why it can't be used."""


@attrs.define(slots=True)
class StoreWatches:
    """The watches of one node, one for each collection in the store."""

    operator: CollectionWatch
    servers: CollectionWatch
    own: CollectionWatch

    def is_loaded(self) -> bool:
        """Return whether all rows of the operator and the servers have been read once."""
        return self.operator.is_loaded and self.servers.is_loaded

    def all(self) -> tuple[CollectionWatch, ...]:
        """Return all watches."""
        return (self.operator, self.servers, self.own)

    def reaches_store(self) -> bool:
        """Return whether the store answers this node.

        A watch that pauses, or whose request waits, says nothing about a store that another watch
        has found unresponsive since.
        """
        lost_ms = [w.lost_since_ms for w in self.all() if w.lost_since_ms is not None]
        return not lost_ms or any(watch.has_answered_since(min(lost_ms)) for watch in self.all())

    def restart_waiting_requests(self) -> None:
        """Restart all requests that wait for changes: the store may have been unresponsive since.

        Requests for the operator's rows wait for 20 s. If they were sent at the beginning of an
        outage of six seconds, a node would be without new routes and versions for 12 s after its
        end.
        """
        for watch in self.all():
            watch.restart_waiting_request()

    def read_again(self) -> None:
        """Have all rows read soon: the store has returned from a copy and has lost some."""
        for watch in self.all():
            watch.restart_waiting_request()
            watch.request_soon()


@attrs.frozen(slots=True)
class LostRowHandlers:
    """What is called when the store has come back from a copy without the newest rows of the nodes.

    :param on_rows_lost: called first; rows that are left may be older than those known.
    :param on_row_lost: called with the key of each row that is missing and no node record.
    :param on_node_record_lost: called with the name of each node whose record is missing.
    """

    on_rows_lost: Callable[[], None] = lambda: None
    on_row_lost: Callable[[str], None] = lambda _key: None
    on_node_record_lost: Callable[[str], None] = lambda _name: None


class StoreFollower:
    """Keeps the cluster state up to date from the store.

    :param on_own_row: takes each changed row of the nodes' collection that is not a node record.
    :param on_server_departed: called when a server no longer takes work.
    :param on_change: called when there is something that peers should know.
    :param on_departure: called in addition when a server departed, which all peers must know at
        once.
    :param on_server_row: called with the id of each server whose entry was applied.
    :param lost_rows: called when the store has lost rows of the nodes' collection.
    :ivar watches_servers: whether the peers rely on this node to ask for servers.
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
        on_server_row: Callable[[str], None] = lambda _server_id: None,
        lost_rows: LostRowHandlers | None = None,
    ) -> None:
        self._decoders = decoders
        self._cluster_state = cluster_state
        self._view = view
        self._clock = clock
        self._on_own_row = on_own_row
        self._on_server_departed = on_server_departed
        self._on_change = on_change
        self._on_departure = on_departure
        self._on_server_row = on_server_row
        self._lost_rows = lost_rows or LostRowHandlers()
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
        """Start to follow the store.

        :param open_feed: returns a feed with a connection of its own.
        :param drain_ms: how soon a leaving server must be known.
        """
        decoders = self._decoders
        watches = StoreWatches(
            CollectionWatch(
                open_feed(),
                decoders.operator_collection,
                tasks,
                self._clock,
                self._handle_operator_row,
                self._notify_store_answers,
                answer_timeout=AnswerTimeout(
                    MIN_ANSWER_TIMEOUT_MS, UNRESPONSIVE_REQUEST_INTERVAL_MS
                ),
                on_lost=self._restart_waiting_requests,
                first_retry_delay_ms=UNRESPONSIVE_REQUEST_INTERVAL_MS // 3,
                # What the operator has confirmed stays in force until it is replaced.
                on_row_lost=lambda _key: None,
            ),
            CollectionWatch(
                open_feed(),
                decoders.server_collection,
                tasks,
                self._clock,
                self._handle_server_row,
                self._handle_store_return,
                lambda: self._servers_pause_ms(int(drain_ms * SERVERS_PAUSE_SHARE)),
                # With the default limits, 21.5 s in total, a request sent while the store was
                # unresponsive would keep all nodes from noticing leaving servers for 16 s after its
                # return.
                int(drain_ms * SERVERS_WAIT_SHARE),
                AnswerTimeout(
                    int(drain_ms * SERVERS_MIN_ANSWER_TIMEOUT_SHARE),
                    int(drain_ms * SERVERS_MAX_ANSWER_TIMEOUT_SHARE),
                ),
                self._restart_waiting_requests,
                max_gap_ms=drain_ms,
                on_rows_lost=self._handle_server_rows_lost,
            ),
            CollectionWatch(
                open_feed(),
                decoders.own_collection,
                tasks,
                self._clock,
                self._handle_own_row,
                self._notify_store_answers,
                lambda: self._shared_pause_ms(OWN_PAUSE_MS),
                answer_timeout=AnswerTimeout(
                    MIN_ANSWER_TIMEOUT_MS, UNRESPONSIVE_REQUEST_INTERVAL_MS
                ),
                on_lost=self._restart_waiting_requests,
                first_retry_delay_ms=UNRESPONSIVE_REQUEST_INTERVAL_MS * 2 // 3,
                on_rows_lost=self._lost_rows.on_rows_lost,
                on_row_lost=self._handle_own_row_lost,
            ),
        )
        self._store_watches = watches
        self._tasks = tasks
        for watch in watches.all():
            tasks.spawn(watch.run)
        return watches

    def _restart_waiting_requests(self) -> None:
        self._store_watches.restart_waiting_requests()

    def _notify_store_answers(self) -> None:
        for watch in self._store_watches.all():
            watch.resume_after_outage()

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat: if the peer has lost the store, this node restarts its requests.

        In a large fleet only some nodes ask often; the others would not notice an outage.
        """
        has_lost_store = not heartbeat.is_store_reachable
        is_news = has_lost_store and heartbeat.name not in self._peers_without_store
        if has_lost_store:
            self._peers_without_store.add(heartbeat.name)
        else:
            self._peers_without_store.discard(heartbeat.name)
        if not is_news:
            return
        now_ms = self._clock.now_ms()
        is_outage_likely = (
            self._view.node_count() <= SINGLE_OUTAGE_REPORT_MAX_NODES
            or len(self._peers_without_store) >= MIN_OUTAGE_REPORTS
        )
        if is_outage_likely and now_ms >= self._next_restart_ms and self._store_watches is not None:
            self._next_restart_ms = now_ms + MIN_RESTART_INTERVAL_MS
            self._store_watches.restart_waiting_requests()

    def _servers_pause_ms(self, pause_ms: int) -> int:
        """Return the pause between requests for servers, of a watcher or as a last resort.

        The watchers are ranked among the nodes that send heartbeats, so that a silent one is
        replaced without any message.
        """
        if self._cluster_state.server_registry.has_missing():
            return UNCONFIRMED_PAUSE_MS
        now_ms = self._clock.now_ms()
        shared_ms = self._shared_pause_ms(pause_ms)
        # A node receives the heartbeats of a dozen peers in each round. After three rounds without
        # any it relies on nobody, though each of them may still be alive and have sent its
        # heartbeats to others.
        self.watches_servers = shared_ms == pause_ms
        if self.watches_servers or not self._view.has_received_within(
            now_ms, SILENT_AFTER_MISSED * HEARTBEAT_INTERVAL_MS
        ):
            return pause_ms
        candidates = [
            heartbeat.name
            for heartbeat in self._view.heartbeats(now_ms)
            if heartbeat.is_store_reachable and not heartbeat.is_leaving
        ]
        own_weight = weight(SERVER_WATCHER_RANK_KEY, self._view.name)
        higher_ranked = sum(
            weight(SERVER_WATCHER_RANK_KEY, name) > own_weight for name in candidates
        )
        self.watches_servers = higher_ranked < SERVER_WATCHERS
        return pause_ms if self.watches_servers else shared_ms * LAST_RESORT_FACTOR

    def _shared_pause_ms(self, pause_ms: int) -> int:
        """Return the pause with which this node does its share of the requests.

        :param pause_ms: the pause of a node in a small fleet.
        """
        peer_count = len(self._view.heartbeats(self._clock.now_ms()))
        return int(pause_ms * max(1.0, (peer_count + 1) / FULL_RATE_NODES))

    def snapshot(self) -> bytes:
        """Return all rows that this node has applied, for a node that can't read them itself."""
        rows = [
            [kind, key, base64.b64encode(body).decode()]
            for kind, bodies in self._bodies_by_kind.items()
            for key, body in bodies.items()
        ]
        return orjson.dumps(rows)

    def apply_snapshot(self, data: bytes) -> bool:
        """Apply a peer's rows; return whether there were any that could be read.

        The versions of the rows are not applied: what the store sends later takes precedence.
        """
        handlers = {
            "operator": self._handle_operator_row,
            "servers": self._handle_server_row,
            "own": self._handle_own_row,
        }
        try:
            rows = [
                (handlers[kind], ChangedRow(str(key), 0, base64.b64decode(body)))
                for kind, key, body in orjson.loads(data)
            ]
        except (ValueError, KeyError, TypeError):
            return False
        for handle, row in rows:
            handle(row)
        return bool(rows)

    def _remember_row(self, kind: str, row: ChangedRow) -> None:
        """Keep a row for nodes that start: never one that is older than what is in force."""
        if row.body is None:
            self._bodies_by_kind[kind].pop(row.key, None)
        else:
            self._bodies_by_kind[kind][row.key] = row.body

    def _handle_operator_row(self, row: ChangedRow) -> None:
        cluster_state = self._cluster_state
        if row.body is None:
            self._remember_row("operator", row)
            return
        routes = self._decoders.routes(row.key, row.body)
        if isinstance(routes, RouteTable):
            if cluster_state.apply_route_table(routes, row.body, "store"):
                self._on_change()
            if cluster_state.route_table.version == routes.version:
                self._remember_row("operator", row)
            return
        ref = self._decoders.adapter_version(row.key, row.body) if routes is None else routes
        if isinstance(ref, AdapterRef):
            if cluster_state.record_version(ref, "store", self._published_after_ms()):
                self._on_change()
            if cluster_state.version_by_adapter[ref.name] == ref.version:
                self._remember_row("operator", row)
        elif ref is not None:
            # The last valid value stays in force.
            log(_LOGGER, events.UnusableRow(row=row.key, cause=ref))

    def _published_after_ms(self) -> int:
        """Return when the version that is being applied was published, at the earliest."""
        at_ms = (
            self._store_watches.operator.earliest_change_ms()
            if self._store_watches is not None
            else None
        )
        return LONG_AGO_MS if at_ms is None else at_ms

    def _handle_server_row(self, row: ChangedRow) -> None:
        now_ms = self._clock.now_ms()
        registry = self._cluster_state.server_registry
        previous_life = registry.life_of(row.key)
        took_work = previous_life is not None and registry.is_accepting_work(previous_life)
        is_outdated = False
        if row.body is None:
            registry.remove(row.key, now_ms)
        else:
            server = self._decoders.server(row.key, row.body)
            if isinstance(server, str):
                registry.mark_unreadable(row.key, server)
            else:
                registry.put(server, now_ms, row.version)
                is_outdated = not server.is_leaving and registry.has_left(server.life)
        if not is_outdated:
            self._remember_row("servers", row)
        self._on_server_row(row.key)
        # Announced only once: a leaving server goes on writing its entry every second for many
        # seconds.
        if took_work and not registry.is_accepting_work(previous_life):
            self._on_server_departed(previous_life)
            self._on_change()
            self._on_departure()
        elif previous_life != registry.life_of(row.key) or self._has_returned(row.key, took_work):
            self._on_change()

    def _has_returned(self, server_id: str, took_work: bool) -> bool:
        """Return whether a server takes work that did not before its entry was applied."""
        registry = self._cluster_state.server_registry
        life = registry.life_of(server_id)
        return not took_work and life is not None and registry.is_accepting_work(life)

    def _handle_store_return(self) -> None:
        if self._store_watches.servers.last_outage_ms >= MIN_OUTAGE_MS:
            self._keep_missing_servers()
        self._notify_store_answers()

    def _handle_server_rows_lost(self) -> None:
        self._cluster_state.server_registry.handle_rows_lost(self._clock.now_ms())
        self._keep_missing_servers()

    def _keep_missing_servers(self) -> None:
        """Keep servers without an entry for a moment: they are about to write it again."""
        servers = self._store_watches.servers
        before_return_ms = [watch.last_unanswered_ms() for watch in self._store_watches.all()]
        before_return_ms.append(servers.coverage.until_ms)
        until_ms = max(ms for ms in before_return_ms if ms is not None) + MISSING_GRACE_MS
        self._cluster_state.server_registry.keep_missing_until(until_ms)
        self._tasks.spawn(self._remove_missing_servers, until_ms)

    def _remove_missing_servers(self, until_ms: int) -> None:
        self._tasks.sleep(max(0, until_ms - self._clock.now_ms()))
        if self._cluster_state.server_registry.remove_missing(self._clock.now_ms()):
            self._on_change()
            self._on_departure()

    def _handle_own_row_lost(self, key: str) -> None:
        if key.startswith(NODE_RECORD_PREFIX):
            self._lost_rows.on_node_record_lost(key.removeprefix(NODE_RECORD_PREFIX))
        else:
            self._lost_rows.on_row_lost(key)

    def _handle_own_row(self, row: ChangedRow) -> None:
        if not row.key.startswith(NODE_RECORD_PREFIX):
            self._on_own_row(row)
            return
        self._remember_row("own", row)
        name = row.key.removeprefix(NODE_RECORD_PREFIX)
        if row.body is None:
            self._view.remove_record(name)
            return
        record = decode_node_record(row.body)
        if isinstance(record, str):
            log(_LOGGER, events.UnusableRow(row=row.key, cause=record))
            return
        self._view.add_record(record)


class NodeRecordFields(Struct):
    """The stored value of a node record."""

    name: str
    boot: str
    data_centre: str
    callers: str
    peer: str
    report: str
    cores: Any = None


def decode_node_record(body: bytes) -> NodeRecord | str:
    """Return a node record, or why it can't be used."""
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
    """Return the stored value of a node record."""
    return {
        "name": node_record.name,
        "boot": node_record.boot,
        "data_centre": node_record.data_centre,
        "callers": node_record.callers_address,
        "peer": node_record.peer_address,
        "report": node_record.report_address,
        "cores": node_record.cores,
    }
