"""The row in the store that says who holds the lease of a cell."""

from __future__ import annotations

from typing import Annotated, Any, Final

import attrs
from msgspec import Meta, Struct

from ..helpers.strict import read
from ..ownership.cell_lease import CellLeaseRow
from ..placement.load_limit import LearnedLoads

CELL_LEASE_PREFIX: Final = "duty/"


class CellLeaseFields(Struct):
    """The stored value of a cell lease."""

    holder: str
    boot: str
    epoch: Annotated[int, Meta(ge=0)]
    counter: Annotated[int, Meta(ge=0)]
    released: bool
    heirs: tuple[str, ...] = ()
    before: str = ""
    loads: Any = None


def encode_cell_lease(row: CellLeaseRow) -> dict[str, Any]:
    """Return the stored value of a cell lease."""
    value: dict[str, Any] = {
        "holder": row.holder,
        "boot": row.boot,
        "epoch": row.epoch,
        "counter": row.counter,
        "heirs": list(row.standbys),
        "released": row.is_released,
        "before": row.previous_holder,
    }
    if row.learned_loads is not None:
        value["loads"] = list(attrs.astuple(row.learned_loads))
    return value


def decode_cell_lease(cell: str, body: bytes | None) -> CellLeaseRow | None:
    """Return the row of a cell lease, or ``None`` when it is malformed or missing."""
    fields = read(body, CellLeaseFields) if body is not None else "gone"
    if isinstance(fields, str):
        return None
    return CellLeaseRow(
        cell,
        fields.holder,
        fields.boot,
        fields.epoch,
        fields.counter,
        fields.heirs,
        fields.released,
        fields.before,
        _decode_learned_loads(fields.loads),
    )


def _decode_learned_loads(fields: Any) -> LearnedLoads | None:
    """Return what a holder has learned; ``None`` if it can't be used.

    A malformed value must not hide the row: nobody could claim the lease.
    """
    match fields:
        case [int(limit), int(full_speed_ms)]:
            learned_loads = LearnedLoads(limit, full_speed_ms)
            return learned_loads if learned_loads.is_plausible() else None
    return None
