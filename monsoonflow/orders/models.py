"""Orders to model runners and their results."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import HeldModel


class Operation(enum.Enum):
    """An operation that a runner can be ordered to carry out."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(slots=True)
class Order:
    """One order to a runner.

    :param name: a base model, or ``MODEL/ADAPTER``.
    :param version: version of the adapter; ``None`` loads the newest.
    :param sequence: number of orders that the runner must have accepted before this one. An order
        that was overtaken by another is refused, however late it reaches the runner.
    :param holder: name of the VM that sends the order, the lease holder of the cell.
    :param fence: fencing token of its cell lease.
    """

    operation: Operation
    name: str
    version: int | None
    sequence: int
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The runner accepted the order.

    :param complete: whether the order has been carried out; otherwise it is in progress.
    """

    complete: bool


@dataclass(frozen=True, slots=True)
class Stale:
    """The runner is busy or has accepted other orders meanwhile; the order had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The runner has seen a higher fencing token: another node holds the cell lease."""


@dataclass(frozen=True, slots=True)
class Gone:
    """Another server answers at the runner's address: the runner no longer exists."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No response arrived; the order may be carried out now, later or never."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unusable:
    """The order did not reach the runner or the runner rejected it; the order had no effect."""

    reason: str


OrderResult: TypeAlias = Accepted | Stale | Superseded | Gone | Unanswered | Unusable


@attrs.frozen(slots=True)
class RunnerReport:
    """The state that a runner reports about itself.

    :param life: the run of the runner's process that sent the report.
    :param sequence: number of orders that it has accepted since its start.
    :param is_changing_model: whether it is loading or unloading a base model.
    :param loading_adapters: adapters that it is loading.
    """

    life: ServerLife
    sequence: int
    is_changing_model: bool
    models: tuple[HeldModel, ...]
    loading_adapters: tuple[AdapterRef, ...] = ()
    running_requests: int = 0
    waiting_requests: int = 0
    memory_used: int = 0
    memory_total: int = 0


class RunnerControl(Protocol):
    """Sends orders to runners and fetches their reports."""

    def fetch_report(self, life: ServerLife, address: str) -> RunnerReport | Gone | None:
        """Return a runner's report; ``None`` when the runner does not answer."""

    def send_order(self, life: ServerLife, address: str, order: Order) -> OrderResult:
        """Send an order once and return its result."""

    def close_connections(self, address: str) -> None:
        """Close the connections to a runner that no longer exists."""
