"""Keeps the configuration in force up to date and carries plans on."""

from __future__ import annotations

import logging
import time
from collections import deque

import orjson

from ..configuration.const import SNAPSHOT_EVERY
from ..configuration.models import Change, Plan, converter
from ..configuration.store import ConfigurationStore, Delta
from ..helpers.hashing import best
from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..rpc import control_pb2 as pb
from ..rpc.client import ControlCaller
from ..storage.models import Unavailable
from .context import NodeContext

_LOGGER = logging.getLogger(__name__)
KEPT_DELTAS = 512
CALM_POLLS = 3


class ConfigLoop:
    """Learns of new versions from the table and from peers; never goes back."""

    def __init__(
        self, context: NodeContext, client: ControlCaller, store: ConfigurationStore
    ) -> None:
        self._context = context
        self._client = client
        self.store = store
        self.changed = context.tasks.flag()
        self._wake = context.tasks.flag()
        self._recent: deque[Delta] = deque(maxlen=KEPT_DELTAS)

    def load(self) -> None:
        """Load the configuration; serves nothing until the table or a peer has given one."""
        pause_ms = 100
        while not self._context.config_loaded:
            config = self.store.load()
            if isinstance(config, Unavailable):
                _LOGGER.warning("%s", pairs(event="config_not_loaded", cause=config.reason))
                self._context.tasks.sleep(pause_ms)
                pause_ms = min(pause_ms * 2, 2_000)
                continue
            self._context.config = config
            self._context.config_loaded = True
            self._heard()
            self._note()

    def run(self) -> None:
        """Poll the table until the process ends.

        New versions come with heartbeats; polling is for when no peer has told.
        """
        while True:
            self._wake.wait(CALM_POLLS * self._context.settings["poll-ms"])
            self._wake.clear()
            self.read()

    def read(self) -> None:
        """Fetch and apply the deltas that are new."""
        deltas = self.store.deltas_after(self._context.config.version)
        if isinstance(deltas, Unavailable):
            return
        self._heard()
        self.apply(deltas)

    def apply(self, deltas: list[Delta]) -> None:
        """Apply deltas in order; those already applied are left alone."""
        applied = False
        for delta in deltas:
            if self._context.config.apply(delta.version, delta.changes):
                self._recent.append(delta)
                applied = True
        if applied:
            self._note()
            self.changed.set()
            self._save_snapshot()

    def _save_snapshot(self) -> None:
        """Store a snapshot now and then, where this node leads; a missed one costs time only."""
        config = self._context.config
        if config.version % SNAPSHOT_EVERY == 0 and self._carries_plans():
            self._context.tasks.spawn(self.store.save_snapshot, config.version, config.snapshot())

    def peer_has(self, rpc_address: str, version: int) -> None:
        """Take a peer's version number; a newer one is fetched from the peer itself."""
        self._heard()
        if version <= self._context.config.version or not self._context.config_loaded:
            return
        self._context.tasks.spawn(self._fetch_from, rpc_address)

    def changes_after(self, version: int) -> pb.ChangesReply:
        """Return recent deltas for a peer, none when the oldest kept is too new."""
        wanted = [delta for delta in self._recent if delta.version > version]
        reply = pb.ChangesReply(version=self._context.config.version)
        if wanted and wanted[0].version == version + 1:
            reply.deltas.extend(
                orjson.dumps(
                    {
                        "version": delta.version,
                        "changes": [converter.unstructure(c, Change) for c in delta.changes],
                    }
                )
                for delta in wanted
            )
        return reply

    def run_plans(self) -> None:
        """Carry the open plans on, where this node is the one to do so.

        Two nodes that both think so do no harm: each step's write is conditional.
        """
        while True:
            self._context.tasks.sleep(self._context.settings["poll-ms"])
            if not self._carries_plans():
                continue
            plans = self.store.due_plans(unix_ms())
            if isinstance(plans, Unavailable):
                continue
            for plan_id in plans:
                self._advance(plan_id)

    def _advance(self, plan_id: str) -> None:
        while True:
            before = self._context.config.version
            result = self.store.advance(plan_id, new_id("op"), unix_ms())
            self.read()
            if self._context.config.version == before or not isinstance(result, Plan):
                return
            _LOGGER.info("%s", pairs(event="plan_step", plan=plan_id, done=result.steps_done))

    def _carries_plans(self) -> bool:
        context = self._context
        if not context.takes_new_work():
            return False
        names = [address.incarnation for address in context.serving_nodes()]
        return best("plan-carrier", names) == context.me.incarnation

    def _fetch_from(self, rpc_address: str) -> None:
        reply = self._client.changes(rpc_address, self._context.config.version)
        if reply is None or not reply.deltas:
            self._wake.set()
            return
        deltas = []
        for encoded in reply.deltas:
            data = orjson.loads(encoded)
            changes = converter.structure(data["changes"], tuple[Change, ...])
            deltas.append(Delta(data["version"], changes))
        self.apply(deltas)

    def _heard(self) -> None:
        self._context.config_heard_ms = self._context.now_ms()

    def _note(self) -> None:
        version = self._context.config.version
        self._context.metrics.config_version.set(version)
        _LOGGER.info("%s", pairs(event="config_in_force", version=version))


def unix_ms() -> int:
    """Return the wall time; used only for times that operators name."""
    return time.time_ns() // 1_000_000
