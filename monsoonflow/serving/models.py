"""Data types of the serving core: owned runners, active requests and commands."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import attrs

from ..core.adapter import AdapterRef
from ..ownership.takeover_guard import TakeoverGuard
from ..request.life import RequestLife
from ..runner.aggregate import Runner


@attrs.define(slots=True)
class OwnedRunner:
    """A runner that this node owns.

    :param fence: the fencing number that this node sends with every order.
    :param takeover_guard: restricts orders while an earlier owner may still be active.
    :param foreign_runs: runs that an earlier owner sent; each pins its adapter until the engine no
        longer reports it.
    :param owned_since_ms: when this node took the runner over.
    :param is_handing_over: whether the runner is moving to another node; it gets no orders then.
    :param takes_new_work: whether requests may be placed here; false while its engine is
        leaving or gone.
    """

    runner: Runner
    base_model: str
    fence: int
    takeover_guard: TakeoverGuard
    foreign_runs: set[str] = attrs.field(factory=set)
    owned_since_ms: int = 0
    is_handing_over: bool = False
    takes_new_work: bool = True


@attrs.define(slots=True)
class ActiveRequest:
    """A request that this node handles.

    :param on_change: called on each change, so that whoever waits for one checks the request again.
    :param runner_id: the runner where it waits or runs; ``None`` while it is not placed.
    :param run_id: the id of the attempt that waits or runs.
    :param needs_adapter_load: whether its adapter was not resident when it was queued.
    """

    life: RequestLife
    on_change: Callable[[], None]
    runner_id: str | None = None
    run_id: str = ""
    is_waiting: bool = False
    enqueued_ms: int = 0
    dispatched_ms: int = 0
    needs_adapter_load: bool = False


@dataclass(frozen=True, slots=True)
class NotOwner:
    """Tells that the node may not send orders to the runner now; the request is placed again."""

    reason: str = "this node no longer owns the runner"


@dataclass(frozen=True, slots=True)
class SendRun:
    """Send a request to a runner."""

    runner_id: str
    fence: int
    request_id: str
    run_id: str


@dataclass(frozen=True, slots=True)
class SendLoad:
    """Order a runner to load an adapter."""

    runner_id: str
    fence: int
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class SendUnload:
    """Order a runner to unload an adapter."""

    runner_id: str
    fence: int
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Order a runner to stop a run; repeated until the runner confirms."""

    runner_id: str
    fence: int
    run_id: str


Command: TypeAlias = SendRun | SendLoad | SendUnload | SendCancel
