"""Keeps this node's card in the store, and clears away those of nodes that are long gone."""

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
"""A node silent for so long is taken out of the list; when it lives, it writes its card again."""


class NodeRegistration:
    """Writes this node's card and removes those of nodes that are gone.

    :param card: returns this node's card as of now: changed settings may change it.
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
        self.is_written = False

    def run(self) -> None:
        """Write the card, and look after the list for good."""
        while not self._write():
            self._tasks.sleep(RETRY_PAUSE_MS)
        while True:
            self._tasks.sleep(CHECK_INTERVAL_MS)
            if self._view.record_by_name.get(self._view.name) != self._node_record():
                self._write()
            self._remove_departed_nodes()

    def _write(self) -> bool:
        card = self._node_record()
        key = NODE_RECORD_PREFIX + card.name
        result = self._table.commit(Transaction(new_id("op"), {}, {key: encode_node_record(card)}))
        self.is_written = isinstance(result, Committed)
        if self.is_written:
            log(_LOGGER, events.CardWritten(node=card.name))
        return self.is_written

    def _remove_departed_nodes(self) -> None:
        now_ms = self._clock.now_ms()
        own = self._view.name
        names = sorted({own, *self._view.record_by_name})
        alive = [name for name in names if name == own or self._view.is_alive(name, now_ms)]
        for name in names:
            if name in alive:
                self._missing_since_by_name.pop(name, None)
                continue
            since_ms = self._missing_since_by_name.setdefault(name, now_ms)
            # Only the first of the living does it: the others would only repeat the write.
            if now_ms - since_ms > REMOVE_AFTER_MS and alive[0] == own:
                self._table.commit(Transaction(new_id("op"), {}, {}, (NODE_RECORD_PREFIX + name,)))
                self._missing_since_by_name.pop(name)
                log(_LOGGER, events.CardRemoved(node=name))
