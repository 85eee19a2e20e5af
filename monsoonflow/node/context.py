"""What the parts of the daemon share."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from ..address.node_order import NodeAddress
from ..backend.models import Engine
from ..configuration.aggregate import Configuration
from ..core.clock import Clock
from ..core.journal import Journal
from ..core.tasks import Tasks
from ..helpers.ids import new_id
from ..membership.view import LeavingServers, Membership
from ..ownership.lease import HeldLease, LeaseWatch
from ..ownership.models import LeaseRow, LeaseTiming, OwnerRow
from ..placement.models import PlacementTuning, RunnerView
from ..placement.spread import SpreadTuning, runners_in_use
from ..placement.store_share import StoreShare
from ..report.burn import BurnCounter
from ..routing.balancer import LeastCallsBalancer
from ..routing.idempotency_keys import IdempotencyKeys
from ..routing.limits import Admission, Limits, RetryBudget
from ..rpc.client import ControlCaller
from ..runner.models import LoadWeights
from ..serving.core import ServingCore
from ..storage.models import ObjectStore, Table
from ..storage.vm_list import VmListReader
from .const import FAILURES_TO_LEAVE, MAX_KEYS, RETRY_RESERVE, RETRY_SHARE
from .metrics import Metrics
from .relay import Relay
from .served import Served
from .settings import NodeSettings


@attrs.define(slots=True)
class RemoteRunner:
    """A runner of another node, as its heartbeats tell."""

    incarnation: str
    fence: int
    view: RunnerView


@attrs.frozen(slots=True)
class Edges:
    """Everything outside the node that it calls; tests give fakes in its place.

    :param open_engine: returns the client of an engine at an address.
    """

    table: Table
    objects: ObjectStore
    vms: VmListReader
    control: ControlCaller
    relay: Relay
    open_engine: Callable[[str], Engine]


class NodeContext:
    """Holds one node's state and clients."""

    def __init__(
        self, settings: NodeSettings, clock: Clock, tasks: Tasks, edges: Edges, rng: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tasks = tasks
        self.edges = edges
        self.rng = rng
        self.journal = Journal(clock)
        self.metrics = Metrics()
        self.burn = BurnCounter(clock)
        self.home = new_id(settings["node"])
        self.stopping = False
        self.lives_begun = 0
        self.timing = LeaseTiming(settings["lease-ms"], settings["lease-margin-ms"])
        self.watch = LeaseWatch(self.timing, settings["max-outage-ms"])
        self.me = self._new_row()
        self.lease = HeldLease(self.timing, settings["max-outage-ms"])
        self.membership = Membership(self.me, settings["silence-ms"])
        self.config = Configuration()
        self.config_loaded = False
        self.config_heard_ms = clock.now_ms()
        self.owners: dict[str, tuple[OwnerRow, int]] = {}
        self.remote_by_runner: dict[str, RemoteRunner] = {}
        self.leaving = LeavingServers(FAILURES_TO_LEAVE)
        self.core = ServingCore(
            self.lease,
            Admission(Limits(settings["max-queue"], settings["max-per-customer"])),
            StoreShare(settings["loads-per-second"]),
            self.journal,
        )
        self.weights = LoadWeights(
            settings["stall-weight"],
            settings["batch-weight"],
            settings["wait-bound-ms"],
            settings["close-after-ms"],
        )
        self.tuning = PlacementTuning()
        self.spread_tuning = SpreadTuning(settings["spread-fill"], settings["spread-stall-ms"])
        self.runners_in_use: dict[str, int] = {}
        self.keys = IdempotencyKeys(settings["keep-keys-ms"], MAX_KEYS)
        self.retry_budget = RetryBudget(RETRY_SHARE, RETRY_RESERVE)
        self.server_choice = LeastCallsBalancer(self.rng)
        self.served_by_id: dict[str, Served] = {}
        self.service_calls = 0
        self.table = edges.table
        self.objects = edges.objects
        self.vms = edges.vms
        self._engine_by_address: dict[str, Engine] = {}

    def now_ms(self) -> int:
        """Return the node's monotonic time."""
        return self.clock.now_ms()

    def engine(self, runner_id: str) -> Engine:
        """Return the client of a runner's engine."""
        address = self.config.runner_by_id[runner_id].address
        engine = self._engine_by_address.get(address)
        if engine is None:
            engine = self._engine_by_address[address] = self.edges.open_engine(address)
        return engine

    def begin_life(self) -> None:
        """Start again under a new incarnation, after the lease has lapsed."""
        self.me = self._new_row()
        self.lease = HeldLease(self.timing, self.settings["max-outage-ms"])
        self.core.lease = self.lease
        self.membership.own_row = self.me

    def takes_new_work(self) -> bool:
        """Tell whether this node admits new requests."""
        return not self.stopping and self.config_loaded and self.config_in_bound()

    def config_in_bound(self) -> bool:
        """Tell whether the configuration was confirmed by the table or a peer recently enough."""
        return self.now_ms() - self.config_heard_ms <= self.settings["config-bound-ms"]

    def serving_nodes(self) -> list[NodeAddress]:
        """Return the nodes that callers may use."""
        rows = [peer.row for peer in self.membership.serving_peers(self.now_ms())]
        if self.takes_new_work():
            rows.append(self.me)
        return [NodeAddress(row.node, row.http, row.incarnation) for row in rows]

    def in_use(self, base_model: str, view_by_id: dict[str, RunnerView]) -> dict[str, RunnerView]:
        """Return the views of the runners that new work is packed onto."""
        usable = [
            view.runner_id
            for view in view_by_id.values()
            if view.takes_new_work and view.base_model == base_model
        ]
        count = self.runners_in_use.get(base_model, len(usable))
        chosen = runners_in_use(base_model, usable, max(1, count))
        return {runner_id: view_by_id[runner_id] for runner_id in chosen}

    def take_owner(self, row: OwnerRow, version: int) -> None:
        """Take an ownership row, unless a newer one is known.

        A read of the table that was under way while a runner changed hands brings the earlier
        owner's row; taking it would let a takeover that is already overtaken go on.
        """
        known = self.owners.get(row.runner_id)
        if known is None or row.fence >= known[0].fence:
            self.owners[row.runner_id] = (row, version)

    def owner_of(self, runner_id: str) -> str | None:
        """Return the incarnation that owns a runner, by the highest fencing number heard of."""
        if runner_id in self.core.owned_by_runner:
            return self.me.incarnation
        row = self.owners.get(runner_id)
        remote = self.remote_by_runner.get(runner_id)
        if remote is not None and (row is None or remote.fence >= row[0].fence):
            return remote.incarnation
        return row[0].incarnation if row is not None else None

    def _new_row(self) -> LeaseRow:
        self.lives_begun += 1
        return LeaseRow(
            node=self.settings["node"],
            incarnation=f"{self.home}.{self.lives_begun}",
            counter=0,
            http=self.settings["http"],
            rpc=self.settings["rpc"],
            data_centre=self.settings["data-centre"],
        )


def home_of(incarnation: str) -> str:
    """Return the process that an incarnation belongs to.

    >>> home_of("n1-ab12.3")
    'n1-ab12'
    """
    return incarnation.rpartition(".")[0]
