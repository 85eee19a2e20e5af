"""Data of leases and ownership rows."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class LeaseTiming:
    """States how long leases last.

    :param duration_ms: how long a renewal is good for.
    :param margin_ms: what the holder gives up early and a claimant waits on top, so that clocks
        that run at slightly different speeds never overlap.
    """

    duration_ms: int
    margin_ms: int

    @property
    def claim_after_ms(self) -> int:
        """Return how long a claimant must have seen an unchanged counter."""
        return self.duration_ms + self.margin_ms


@attrs.frozen(slots=True)
class LeaseRow:
    """A node's row in the table service.

    :param incarnation: names one life of the node's process.
    :param counter: rises with each renewal.
    :param successors: the incarnations that may claim when the lease lapses.
    """

    node: str
    incarnation: str
    counter: int
    http: str
    rpc: str
    data_centre: str
    leaving: bool = False
    successors: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class OwnerRow:
    """A runner's row in the table service.

    :param fence: rises with each change of owner; sent on every order.
    """

    runner_id: str
    node: str
    incarnation: str
    fence: int


@attrs.frozen(slots=True)
class Claim:
    """The decision to claim a runner.

    :param expected_version: the row version that the conditional write is bound to (0: no row).
    """

    row: OwnerRow
    expected_version: int
    reason: str
