"""Reads and writes the configuration, its changes and plans in the platform's services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

import attrs
import orjson

from ..storage.models import (
    CommitResult,
    Committed,
    Conflict,
    ObjectStore,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from .aggregate import Configuration
from .const import DELTA_PREFIX, HEAD_KEY, PLAN_PREFIX, delta_key
from .models import Change, Plan, PlanState, converter

OPEN_PREFIX = "plan-open/"
SNAPSHOT_KEY = "config/snapshot"


@attrs.frozen(slots=True)
class Delta:
    """The changes that lead to a version."""

    version: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class StalePlan:
    """Another operator's change came first; the plan must be made again."""

    base_version: int
    head_version: int


@dataclass(frozen=True, slots=True)
class WrongState:
    """The plan is not in a state that allows this."""

    state: PlanState


StepResult: TypeAlias = Plan | StalePlan | WrongState | Unavailable | None


def decode_delta(row: Row) -> Delta:
    """Return a delta as read from the table."""
    changes = converter.structure(row.value["changes"], tuple[Change, ...])
    return Delta(row.value["version"], changes)


class ConfigurationStore:
    """Keeps a head (version number), a log of deltas, snapshots and plans."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    def load(self) -> Configuration | Unavailable:
        """Return the newest configuration: a snapshot, then the deltas after it."""
        config = self._load_snapshot()
        if isinstance(config, Unavailable):
            return config
        deltas = self.deltas_after(config.version)
        if isinstance(deltas, Unavailable):
            return deltas
        for delta in deltas:
            config.apply(delta.version, delta.changes)
        return config

    def deltas_after(self, version: int) -> list[Delta] | Unavailable:
        """Return the changes after a version, in order."""
        rows = self._table.scan(DELTA_PREFIX, after=delta_key(version))
        if isinstance(rows, Unavailable):
            return rows
        return [decode_delta(row) for row in rows]

    def save_snapshot(self, version: int, data: dict) -> None:
        """Store a snapshot, so that a new node reads few deltas.

        :param data: the configuration as plain data, taken at that version.
        """
        key = f"config-{version:010d}"
        if self._objects.put(key, orjson.dumps(data)):
            self._point_to_snapshot(version, key)

    def save_plan(self, plan: Plan, operation_id: str) -> bool:
        """Store a new plan."""
        key = PLAN_PREFIX + plan.plan_id
        value = converter.unstructure(plan)
        result = self._table.commit(Transaction(operation_id, {key: 0}, {key: value}))
        return isinstance(result, Committed)

    def plan(self, plan_id: str) -> tuple[Plan, int] | None | Unavailable:
        """Return a plan and its row's version."""
        row = self._table.get(PLAN_PREFIX + plan_id)
        if row is None or isinstance(row, Unavailable):
            return row
        value = {key: entry for key, entry in row.value.items() if key != "op"}
        return converter.structure(value, Plan), row.version

    def due_plans(self, now_unix_ms: int) -> list[str] | Unavailable:
        """Return the identifiers of the plans that have a step to carry out now."""
        rows = self._table.scan(OPEN_PREFIX)
        if isinstance(rows, Unavailable):
            return rows
        return [
            row.key.removeprefix(OPEN_PREFIX)
            for row in rows
            if row.value["due_unix_ms"] <= now_unix_ms
        ]

    def confirm(self, plan_id: str, operation_id: str, now_unix_ms: int) -> StepResult:
        """Confirm a plan in one conditional transaction.

        Accepted means durable: the plan's row, the head and the first delta are written together. A
        plan made against an older version is refused, so of two operators' conflicting plans only
        the first takes effect. Confirming again is answered with the plan as it stands.
        """
        found = self.plan(plan_id)
        if found is None or isinstance(found, Unavailable):
            return found
        plan, row_version = found
        if plan.state in (PlanState.RUNNING, PlanState.DONE):
            return plan
        if plan.state is not PlanState.PROPOSED:
            return WrongState(plan.state)
        head = self._head()
        if isinstance(head, Unavailable):
            return head
        head_version, head_row = head
        if head_version != plan.base_version:
            return StalePlan(plan.base_version, head_version)
        result = self._advance(plan, row_version, head_version, head_row, operation_id, now_unix_ms)
        if result is None:
            return StalePlan(plan.base_version, head_version + 1)
        return result

    def advance(self, plan_id: str, operation_id: str, now_unix_ms: int) -> StepResult:
        """Carry out the next step of a running plan that is due.

        The write is bound to the plan's row: however many nodes try, each step is done once.
        """
        found = self.plan(plan_id)
        if found is None or isinstance(found, Unavailable):
            return found
        plan, row_version = found
        if plan.state is not PlanState.RUNNING:
            return WrongState(plan.state)
        if plan.steps[plan.steps_done].not_before_unix_ms > now_unix_ms:
            return plan
        head = self._head()
        if isinstance(head, Unavailable):
            return head
        return self._advance(plan, row_version, *head, operation_id, now_unix_ms)

    def _advance(
        self,
        plan: Plan,
        row_version: int,
        head_version: int,
        head_row: int,
        operation_id: str,
        now_unix_ms: int,
    ) -> Plan | Unavailable | None:
        """Write a plan's next state; ``None`` when another write came first."""
        step = plan.steps[plan.steps_done]
        due = step.not_before_unix_ms <= now_unix_ms
        done = plan.steps_done + (1 if due else 0)
        state = PlanState.DONE if done == len(plan.steps) else PlanState.RUNNING
        next_plan = attrs.evolve(plan, state=state, steps_done=done)
        plan_key = PLAN_PREFIX + plan.plan_id
        conditions = {plan_key: row_version, HEAD_KEY: head_row}
        puts = {plan_key: converter.unstructure(next_plan)}
        if due:
            puts[HEAD_KEY] = {"version": head_version + 1}
            puts[delta_key(head_version + 1)] = {
                "version": head_version + 1,
                "plan_id": plan.plan_id,
                "changes": [converter.unstructure(change, Change) for change in step.changes],
            }
        deletes: tuple[str, ...] = ()
        if state is PlanState.RUNNING:
            # The open row tells when the next step is due: a carrier that read the whole plan each
            # time to find out would fetch every adapter that it brings in, several times a second.
            due_ms = plan.steps[done].not_before_unix_ms
            puts[OPEN_PREFIX + plan.plan_id] = {"due_unix_ms": due_ms}
        elif plan.state is PlanState.RUNNING:
            deletes = (OPEN_PREFIX + plan.plan_id,)
        self._stop_undone(plan, conditions, puts)
        result: CommitResult = self._table.commit(
            Transaction(operation_id, conditions, puts, deletes)
        )
        match result:
            case Committed():
                return next_plan
            case Conflict():
                return None
            case Unavailable():
                return result

    def _stop_undone(self, plan: Plan, conditions: dict[str, int], puts: dict[str, dict]) -> None:
        """Make the plan that an undo takes back stop in the same transaction."""
        if plan.intent.get("kind") != "undo":
            return
        original = self.plan(plan.intent["plan_id"])
        if original is None or isinstance(original, Unavailable):
            return
        key = PLAN_PREFIX + original[0].plan_id
        conditions[key] = original[1]
        puts[key] = converter.unstructure(attrs.evolve(original[0], state=PlanState.UNDONE))

    def _head(self) -> tuple[int, int] | Unavailable:
        row = self._table.get(HEAD_KEY)
        if isinstance(row, Unavailable):
            return row
        return (row.value["version"], row.version) if row is not None else (0, 0)

    def _load_snapshot(self) -> Configuration | Unavailable:
        row = self._table.get(SNAPSHOT_KEY)
        if isinstance(row, Unavailable):
            return row
        if row is None:
            return Configuration()
        body = self._objects.get(row.value["object"])
        if body is None or isinstance(body, Unavailable):
            # Deltas are never deleted, so a missing snapshot costs time only.
            return Configuration()
        return Configuration.from_snapshot(orjson.loads(body))

    def _point_to_snapshot(self, version: int, key: str) -> None:
        row = self._table.get(SNAPSHOT_KEY)
        if isinstance(row, Unavailable):
            return
        if row is not None and row.value["version"] >= version:
            return
        condition = {SNAPSHOT_KEY: row.version if row is not None else 0}
        put = {SNAPSHOT_KEY: {"version": version, "object": key}}
        self._table.commit(Transaction(f"snapshot-{version}", condition, put))
