"""Keeps the store's records of the software versions that each service has had lately."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Final

import attrs
import orjson

from ..core.clock import Clock
from ..core.tasks import Tasks
from ..helpers.ids import new_id
from ..logs import events, log
from ..storage.coverage import Coverage
from ..storage.models import ChangedRow, Committed, Row, Table, Transaction, Unavailable
from .software_versions import SoftwareVersions
from .version_record import (
    VERSION_RECORD_PREFIX,
    VersionRecord,
    decode_version_record,
    encode_version_record,
    merged,
)

_LOGGER = logging.getLogger(__name__)
WRITE_RETRY_MS: Final = 2_000
"""How long after a failed write a record is written again."""

READ_POLL_MS: Final = 10
READ_AGAIN_MS: Final = 500
"""A record that was read for one stream is used for others for this long: when connections are
reset, many streams are taken up again at once."""


class VersionRecords:
    """Reads the records, and writes those of the services whose cell lease this node holds.

    :param versions: what this node has seen itself.
    :param server_coverage: returns for which time the list of servers is known.
    :param own_coverage: returns for which time the rows of the nodes' collection are known.
    :param held_services: returns the services whose cell lease this node holds.
    """

    def __init__(
        self,
        versions: SoftwareVersions,
        table: Table,
        tasks: Tasks,
        clock: Clock,
        server_coverage: Callable[[], Coverage | None],
        own_coverage: Callable[[], Coverage | None],
        held_services: Callable[[], Iterable[str]],
    ) -> None:
        self._versions = versions
        self._table = table
        self._tasks = tasks
        self._clock = clock
        self._server_coverage = server_coverage
        self._own_coverage = own_coverage
        self._held_services = held_services
        self._record_by_service: dict[str, VersionRecord] = {}
        self._read_ms_by_service: dict[str, int] = {}
        self._services_being_read: set[str] = set()
        self._next_write_ms_by_service: dict[str, int] = {}
        self._services_being_written: set[str] = set()
        self._services_of_copy: set[str] = set()
        self._unwritten_services: set[str] = set()

    def apply_row(self, row: ChangedRow) -> bool:
        """Apply a changed row; return whether it is a record."""
        if not row.key.startswith(VERSION_RECORD_PREFIX):
            return False
        if row.body is not None:
            self._apply(row.key.removeprefix(VERSION_RECORD_PREFIX), row.body, row.version)
        return True

    def handle_rows_lost(self) -> None:
        """Handle that the store has lost rows: its records are older than those known, or gone."""
        self._services_of_copy = set(self._record_by_service)
        self._unwritten_services |= self._services_of_copy
        for service, record in self._record_by_service.items():
            self._record_by_service[service] = attrs.evolve(record, row_version=0)

    def _apply(self, service: str, body: bytes, row_version: int) -> None:
        known = self._record_by_service.get(service)
        if known is not None and known.row_version >= row_version:
            return
        record = decode_version_record(body, row_version, self._clock.now_ms())
        if isinstance(record, str):
            key = VERSION_RECORD_PREFIX + service
            log(_LOGGER, events.UnusableRow(row=key, cause=record))
            return
        self._unwritten_services.discard(service)
        if service in self._services_of_copy:
            self._services_of_copy.discard(service)
            stored, record = record, merged(record, known)
            if record != stored:
                self._unwritten_services.add(service)
        self._record_by_service[service] = record

    def record_of(self, service: str) -> VersionRecord | None:
        """Return the record of a service as last read."""
        record = self._record_by_service.get(service)
        if record is None:
            return None
        own_coverage = self._own_coverage()
        until_ms = own_coverage.until_ms if own_coverage is not None else 0
        read_ms = max(record.read_ms, until_ms, self._read_ms_by_service.get(service, 0))
        return attrs.evolve(record, read_ms=read_ms)

    def read(self, service: str) -> None:
        """Read the record of a service, unless that was done just now; waits for the store."""
        now_ms = self._clock.now_ms()
        read_ms = self._read_ms_by_service.get(service)
        if read_ms is not None and now_ms - read_ms < READ_AGAIN_MS:
            return
        if service in self._services_being_read:
            while service in self._services_being_read:
                self._tasks.sleep(READ_POLL_MS)
            return
        self._services_being_read.add(service)
        try:
            row = self._table.get(VERSION_RECORD_PREFIX + service)
        finally:
            self._services_being_read.discard(service)
        if isinstance(row, Unavailable):
            return
        if row is not None:
            self._apply_read(service, row)
        self._read_ms_by_service[service] = now_ms

    def _apply_read(self, service: str, row: Row) -> None:
        self._apply(service, orjson.dumps(row.value), row.version)

    def write_changed(self) -> None:
        """Start to write the records whose versions have changed."""
        own_coverage, server_coverage = self._own_coverage(), self._server_coverage()
        if own_coverage is None or own_coverage.first_ms is None or server_coverage is None:
            return
        now_ms = self._clock.now_ms()
        offset_ms = server_coverage.service_offset_ms
        if offset_ms is None or not server_coverage.is_current(now_ms):
            return
        for service in self._held_services():
            if service in self._services_being_written:
                continue
            if now_ms < self._next_write_ms_by_service.get(service, 0):
                continue
            record = self._changed_record(service, now_ms + offset_ms)
            if record is not None:
                self._services_being_written.add(service)
                self._tasks.spawn(self._write, service, record)

    def _changed_record(self, service: str, service_now_ms: int) -> VersionRecord | None:
        """Return the record to write; ``None`` if the store's one is still right."""
        known = self._record_by_service.get(service)
        present = frozenset(self._versions.present(service))
        is_right = known.present == present if known is not None else not present
        if is_right and service not in self._unwritten_services:
            return None
        left_ms = dict(known.left_ms) if known is not None else {}
        past = self._versions.seen(service) | (known.present if known is not None else set())
        for version in past - present:
            seen_ms = service_now_ms - self._versions.age_ms(service, version)
            left_ms[version] = max(seen_ms, left_ms.get(version, seen_ms))
        oldest_ms = service_now_ms - self._versions.stream_life_ms
        left_ms = {
            version: at_ms
            for version, at_ms in left_ms.items()
            if at_ms >= oldest_ms and version not in present
        }
        return VersionRecord(
            known.row_version if known is not None else 0,
            self._clock.now_ms(),
            known.since_ms if known is not None else self._recorded_since_ms(service_now_ms),
            present,
            left_ms,
        )

    def _recorded_since_ms(self, service_now_ms: int) -> int:
        """Return since when a first record is complete: it includes what this node has seen."""
        coverage, now_ms = self._server_coverage(), self._clock.now_ms()
        known_for_ms = now_ms - coverage.since_ms if coverage is not None else 0
        if self._versions.knows_all_past():
            known_for_ms = max(known_for_ms, self._versions.stream_life_ms)
        return service_now_ms - known_for_ms

    def _write(self, service: str, record: VersionRecord) -> None:
        key = VERSION_RECORD_PREFIX + service
        value = encode_version_record(record)
        transaction = Transaction(new_id("op"), {key: record.row_version}, {key: value})
        try:
            result = self._table.commit(transaction)
            if isinstance(result, Committed):
                self._apply(service, orjson.dumps(value), result.version)
                log(
                    _LOGGER,
                    events.SoftwareVersionsRecorded(
                        service=service,
                        present=",".join(sorted(record.present)),
                        left=",".join(sorted(record.left_ms)),
                    ),
                )
                return
            self._next_write_ms_by_service[service] = self._clock.now_ms() + WRITE_RETRY_MS
            row = self._table.get(key)
            if isinstance(row, Row):
                self._apply_read(service, row)
        finally:
            self._services_being_written.discard(service)
