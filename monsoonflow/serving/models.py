"""Data that the serving core takes in and hands out."""

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

    :param foreign_runs: runs that an earlier owner sent; their pins end with the engine's word.
    :param handing_over: set while the runner moves to another node; nothing is ordered then.
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
    """A request that this node drives.

    :param runner_id: where it waits or runs; ``None`` while it has no place.
    :param run_id: names the attempt that waits or runs.
    :param changed: called whenever a waiting party should look again.
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
    """Tells that this node may order nothing of the runner now; another place will do."""

    reason: str = "this node no longer owns the runner"


@dataclass(frozen=True, slots=True)
class SendRun:
    """Offer a request to a runner."""

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
