"""Keeps this node's record in the store, and removes the records of nodes that are gone."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..fleet.models import NodeRecord
from ..fleet.view import FleetView
from ..helpers.ids import new_id
from ..logs import events, log
from ..storage.models import Committed, Table, Transaction
from .store_follower import NODE_RECORD_PREFIX, encode_node_record

_LOGGER = logging.getLogger(__name__)
RETRY_PAUSE_MS: Final = 300
CHECK_INTERVAL_MS: Final = 5_000
REMOVE_AFTER_MS: Final = 30_000
"""A node silent for this long is removed from the list; if it is alive, it writes its record
again."""


class NodeRegistration:
    """Writes this node's record and removes those of nodes that are gone.

    :param node_record: returns this node's current record: a change of settings may change it.
    """

    def __init__(
        self,
        node_record: Callable[[], NodeRecord],
        table: Table,
        view: FleetView,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        self._node_record = node_record
        self._table = table
        self._view = view
        self._tasks = tasks
        self._clock = clock
        self._missing_since_by_name: dict[str, int] = {}
        self._lost_names: set[str] = set()
        self._check_soon_flag = tasks.flag()
        self.is_written = False

    def run(self) -> None:
        """Write the record, then check the list periodically."""
        while not self._write():
            self._tasks.sleep(RETRY_PAUSE_MS)
        while True:
            self._check_soon_flag.wait(CHECK_INTERVAL_MS)
            self._check_soon_flag.clear()
            if self._view.record_by_name.get(self._view.name) != self._node_record():
                self._write()
            self._remove_departed_nodes()

    def check_soon(self) -> None:
        """Check the list soon: the store has lost rows, and this node's may be an older one."""
        self._check_soon_flag.set()

    def handle_record_lost(self, name: str) -> None:
        """Handle that the store has lost a node's record.

        A node that runs writes its record again; until then it is reached by the known one.
        """
        if name == self._view.name:
            self._view.remove_record(name)
        else:
            self._lost_names.add(name)

    def _write(self) -> bool:
        record = self._node_record()
        key = NODE_RECORD_PREFIX + record.name
        result = self._table.commit(
            Transaction(new_id("op"), {}, {key: encode_node_record(record)})
        )
        self.is_written = isinstance(result, Committed)
        if self.is_written:
            log(_LOGGER, events.CardWritten(node=record.name))
        return self.is_written

    def _remove_departed_nodes(self) -> None:
        now_ms = self._clock.now_ms()
        own_name = self._view.name
        names = sorted({own_name, *self._view.record_by_name})
        alive = [name for name in names if name == own_name or self._view.is_alive(name, now_ms)]
        for name in names:
            if name in alive:
                self._missing_since_by_name.pop(name, None)
                self._lost_names.discard(name)
                continue
            missing_since_ms = self._missing_since_by_name.setdefault(name, now_ms)
            if name in self._lost_names and now_ms - missing_since_ms > REMOVE_AFTER_MS:
                # The store reports no removal of a row that it has lost.
                self._lost_names.discard(name)
                self._view.remove_record(name)
            # Only the first of the live nodes removes it: the others would only repeat the write.
            if now_ms - missing_since_ms > REMOVE_AFTER_MS and alive[0] == own_name:
                self._table.commit(Transaction(new_id("op"), {}, {}, (NODE_RECORD_PREFIX + name,)))
                self._missing_since_by_name.pop(name)
                log(_LOGGER, events.CardRemoved(node=name))
