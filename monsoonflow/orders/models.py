"""Orders to model runners and tagged answers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol, TypeAlias

import attrs

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import HeldModel


class Operation(enum.Enum):
    """What a runner can be ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(slots=True)
class Order:
    """One order to a runner.

    :param name: a base model, or ``MODEL/ADAPTER``.
    :param version: of the adapter; ``None`` takes the newest.
    :param sequence: how many orders the runner must have accepted before this one: one that was
        overtaken by another is then refused, however late it is carried out.
    :param holder: names the VM that gives orders.
    :param fence: the fencing number of its duty.
    """

    operation: Operation
    name: str
    version: int | None
    sequence: int
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The runner took the order.

    :param complete: it holds already; otherwise it is being carried out.
    """

    complete: bool


@dataclass(frozen=True, slots=True)
class Stale:
    """The runner is busy or has accepted other orders since; nothing was done."""

    reason: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """The runner has seen a higher fencing number: another node holds the duty."""


@dataclass(frozen=True, slots=True)
class Gone:
    """Another server answers at the runner's address: the runner is no more."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer came; the order may be carried out now, later or never."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unusable:
    """The order did not reach the runner, or the runner can't take it; nothing was done."""

    reason: str


OrderResult: TypeAlias = Accepted | Stale | Superseded | Gone | Unanswered | Unusable


@attrs.frozen(slots=True)
class RunnerReport:
    """What a runner says of itself.

    :param life: which of its lives speaks.
    :param sequence: how many orders it has accepted since its start.
    :param busy: whether it is loading or dropping a base model.
    :param incoming: adapters that are on their way to it.
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
    """Reaches runners for orders and reports."""

    def fetch_report(self, life: ServerLife, address: str) -> RunnerReport | Gone | None:
        """Return what a runner says of itself; ``None`` when it does not answer."""

    def send_order(self, life: ServerLife, address: str, order: Order) -> OrderResult:
        """Send an order once."""

    def close_connections(self, address: str) -> None:
        """Close the connections to a runner that is gone."""
