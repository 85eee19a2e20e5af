"""Data models of leases and runner ownership."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class LeaseTiming:
    """How long a lease lasts.

    :param duration_ms: how long a lease lasts after a renewal.
    :param margin_ms: by how much the holder stops earlier than that, and a claim candidate waits
        longer. It prevents overlap when the clocks of the two run at slightly different speeds.
    """

    duration_ms: int
    margin_ms: int

    @property
    def claim_after_ms(self) -> int:
        """Return how long a claim candidate must have seen an unchanged counter."""
        return self.duration_ms + self.margin_ms


@attrs.frozen(slots=True)
class LeaseRow:
    """A node's lease in the table service.

    :param incarnation: identifies one run of the node's process.
    :param counter: rises with each renewal.
    :param successors: the incarnations that may claim the node's runners when the lease lapses.
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
    """A runner's owner in the table service.

    :param fence: the fencing number; it rises with each change of owner and is sent with each
        order.
    """

    runner_id: str
    node: str
    incarnation: str
    fence: int


@attrs.frozen(slots=True)
class Claim:
    """The decision to claim a runner.

    :param row: the ownership row to write.
    :param expected_version: the version that the present row must have for the write to succeed
        (0: no row).
    """

    row: OwnerRow
    expected_version: int
    reason: str
