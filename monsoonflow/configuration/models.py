"""Data of the configuration, its changes and plans; all of it JSON at the edge."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypeAlias

import attrs
import cattrs


@attrs.frozen(slots=True)
class Customer:
    """A customer, known by the SHA-256 of its bearer key.

    :param weight: its share when customers compete.
    :param newcomer: set while it is brought in; its adapters' loads then take a bounded share.
    """

    name: str
    key_sha256: str
    weight: float = 1.0
    group: str = ""
    newcomer: bool = False


@attrs.frozen(slots=True)
class Adapter:
    """An adapter and the versions of it that are served.

    :param current: the version that a request without a version gets.
    :param closing: versions that serve no new request.
    """

    name: str
    customer: str
    base_model: str
    versions: tuple[int, ...]
    current: int
    closing: tuple[int, ...] = ()


@attrs.frozen(slots=True)
class RunnerEntry:
    """A model runner that the system routes to.

    :param checks_fencing: whether its engine refuses orders with an old fencing number.
    """

    runner_id: str
    address: str
    base_model: str
    data_centre: str
    checks_fencing: bool
    draining: bool = False


@attrs.frozen(slots=True)
class ServiceEntry:
    """A plain service and its servers."""

    name: str
    addresses: tuple[str, ...]
    customers: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class Objective:
    """What a class of requests is promised.

    :param priority: the class.
    :param group: the customer group; empty for all.
    :param first_token_ms: the time within which the first token shall come.
    :param share: the share of requests that shall be whole and in time, such as 0.95.
    """

    priority: int
    first_token_ms: int
    share: float
    group: str = ""

    @property
    def name(self) -> str:
        """Return the objective's key."""
        return f"{self.priority}/{self.group}"


@attrs.frozen(slots=True)
class PutObjective:
    """Adds or replaces an objective."""

    objective: Objective
    kind: str = "put_objective"


@attrs.frozen(slots=True)
class PutCustomer:
    """Adds or replaces a customer."""

    customer: Customer
    kind: str = "put_customer"


@attrs.frozen(slots=True)
class PutAdapters:
    """Adds or replaces adapters."""

    adapters: tuple[Adapter, ...]
    kind: str = "put_adapters"


@attrs.frozen(slots=True)
class PutRunner:
    """Adds or replaces a runner."""

    runner: RunnerEntry
    kind: str = "put_runner"


@attrs.frozen(slots=True)
class PutService:
    """Adds or replaces a plain service."""

    service: ServiceEntry
    kind: str = "put_service"


@attrs.frozen(slots=True)
class RemoveCustomer:
    """Removes a customer and every adapter of it."""

    name: str
    kind: str = "remove_customer"


@attrs.frozen(slots=True)
class RemoveAdapters:
    """Removes adapters by name."""

    names: tuple[str, ...]
    kind: str = "remove_adapters"


@attrs.frozen(slots=True)
class MoveVersion:
    """Makes another version the current one; the earlier one stays addressable until closed."""

    adapter: str
    version: int
    close_previous: bool
    kind: str = "move_version"


Change: TypeAlias = (
    PutCustomer
    | PutAdapters
    | PutRunner
    | PutService
    | RemoveCustomer
    | RemoveAdapters
    | MoveVersion
    | PutObjective
)

CHANGE_BY_KIND: dict[str, type] = {
    "put_customer": PutCustomer,
    "put_adapters": PutAdapters,
    "put_runner": PutRunner,
    "put_service": PutService,
    "remove_customer": RemoveCustomer,
    "remove_adapters": RemoveAdapters,
    "move_version": MoveVersion,
    "put_objective": PutObjective,
}


class PlanState(StrEnum):
    """Names the states of a plan."""

    PROPOSED = "proposed"
    RUNNING = "running"
    DONE = "done"
    UNDONE = "undone"


@attrs.frozen(slots=True)
class Step:
    """One step of a plan: changes to apply together, at or after a wall-clock time.

    :param not_before_unix_ms: 0 for at once. Wall time, since operators name wall times.
    """

    title: str
    changes: tuple[Change, ...]
    not_before_unix_ms: int = 0


@attrs.frozen(slots=True)
class Plan:
    """What an intent would do, bound to the version that it was made against."""

    plan_id: str
    operator: str
    intent: dict[str, Any]
    base_version: int
    steps: tuple[Step, ...]
    effects: tuple[str, ...]
    assumptions: tuple[str, ...]
    loads: int
    load_seconds: float
    state: PlanState = PlanState.PROPOSED
    steps_done: int = 0
    undo: tuple[Change, ...] = ()


converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_change(value: Any, _type: Any) -> Any:
    kind = CHANGE_BY_KIND.get(value.get("kind", "")) if isinstance(value, dict) else None
    if kind is None:
        raise ValueError("unknown kind of change")
    return converter.structure(value, kind)


def _structure_strict(value: Any, kind: type) -> Any:
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise TypeError(f"expected {kind.__name__}")
    return value


for _kind in (int, str, bool):
    converter.register_structure_hook_func(
        lambda hinted, kind=_kind: hinted is kind,
        lambda value, _hinted, kind=_kind: _structure_strict(value, kind),
    )
converter.register_structure_hook_func(lambda hinted: hinted == Change, _structure_change)
converter.register_unstructure_hook_func(
    lambda hinted: hinted == Change, lambda value: converter.unstructure(value, type(value))
)
