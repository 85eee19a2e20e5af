"""The record in the store of the software versions that a service has had lately.

It outlives all processes. It is written only when the versions of the listed servers change, by the
holder of the service's cell lease.
"""

from __future__ import annotations

from typing import Any, Final

import attrs
from msgspec import Struct

from ..helpers.strict import read

VERSION_RECORD_PREFIX: Final = "software_versions/"


@attrs.frozen(slots=True)
class VersionRecord:
    """The software versions of one service; times are those of the store's clock.

    :param row_version: 0 if the store has no row yet.
    :param read_ms: up to when the row was known to be the newest, by this node's clock.
    :param since_ms: since when each version is recorded.
    :param present: versions of listed servers.
    :param left_ms: when the last server of each other version left.
    """

    row_version: int
    read_ms: int
    since_ms: int
    present: frozenset[str]
    left_ms: dict[str, int]

    def versions_since(self, since_ms: int) -> set[str]:
        """Return the versions that were present at some time since a moment."""
        return self.present | {
            name for name, left_ms in self.left_ms.items() if left_ms >= since_ms
        }


def merged(stored: VersionRecord, known: VersionRecord) -> VersionRecord:
    """Return a record that a store may have replaced by an older one, with all that was known.

    :param stored: what the store holds now.
    :param known: what was read before.
    """
    present = stored.present | known.present
    left_ms = {
        version: max(record.left_ms.get(version, 0) for record in (stored, known))
        for version in (stored.left_ms.keys() | known.left_ms.keys()) - present
    }
    since_ms = min(stored.since_ms, known.since_ms)
    return VersionRecord(stored.row_version, stored.read_ms, since_ms, present, left_ms)


class VersionRecordFields(Struct):
    """The stored value of a record."""

    since_ms: int
    present: list[str]
    left_ms: dict[str, int]


def decode_version_record(body: bytes, row_version: int, read_ms: int) -> VersionRecord | str:
    """Return a record, or why it can't be used."""
    fields = read(body, VersionRecordFields)
    if isinstance(fields, str):
        return fields
    return VersionRecord(
        row_version, read_ms, fields.since_ms, frozenset(fields.present), fields.left_ms
    )


def encode_version_record(record: VersionRecord) -> dict[str, Any]:
    """Return the stored value of a record."""
    return {
        "since_ms": record.since_ms,
        "present": sorted(record.present),
        "left_ms": record.left_ms,
    }
