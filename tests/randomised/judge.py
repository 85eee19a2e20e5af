"""What must hold after a randomised run, by the fakes' own records."""

from __future__ import annotations

import attrs

from monsoonflow.client import Reply
from monsoonflow.core.outcome import Done, NotRun
from stand_ins.text import expected_text

from .engines import FakeEngine, Record
from .fakes import FakeTable
from .network import Process


@attrs.define
class Asked:
    """One request of a caller and its end."""

    model: str
    prompt: str
    tokens: int
    repeatable: bool
    reply: Reply | None = None


class Judge:
    """Compares what callers and operators were told with what really happened."""

    asked: list[Asked]
    accepted: list[str]
    record: Record
    table: FakeTable
    processes: dict[str, Process]
    engine_by_address: dict[str, FakeEngine]

    def _judge(self, healed_from: int) -> list[str]:
        broken = list(self.record.violations)
        for number, asked in enumerate(self.asked):
            broken += self._judge_one(asked, must_end_well=number >= healed_from)
        broken += self._judge_configuration()
        owned = [
            (name, runner)
            for name, process in self.processes.items()
            for runner in process.node.context.core.owned_by_runner
        ]
        if sorted(runner for _, runner in owned) != sorted(self.engine_by_address):
            broken.append(f"after healing, runners are owned as {owned}")
        return broken

    def _judge_one(self, asked: Asked, must_end_well: bool) -> list[str]:
        runs = self.record.runs_by_prompt.get(asked.prompt, 0)
        if asked.reply is None:
            return [f"{asked} never ended"]
        broken = []
        outcome = asked.reply.outcome
        if not asked.repeatable and runs > 1:
            broken.append(f"{asked} may not be repeated and ran {runs} times")
        if isinstance(outcome, NotRun) and runs:
            broken.append(f"{asked} was told not run and ran {runs} times")
        if isinstance(outcome, Done):
            broken += self._judge_text(asked)
        elif must_end_well:
            broken.append(f"{asked} did not end well after healing")
        return broken

    def _judge_text(self, asked: Asked) -> list[str]:
        reply = asked.reply
        assert reply is not None
        name, _, version = asked.model.partition("@")
        right = reply.model == asked.model if version else reply.model.startswith(f"{name}@")
        expected = expected_text(reply.model, asked.prompt, asked.tokens)
        if right and reply.text == expected:
            return []
        return [f"{asked} got a wrong or foreign answer"]

    def _judge_configuration(self) -> list[str]:
        broken = []
        head = self.table.rows["config/head"][1]["version"]
        for name, process in self.processes.items():
            version = process.node.context.config.version
            if version != head:
                broken.append(f"{name} is at version {version}, the head is {head}")
        carried = {
            row["plan_id"] for key, (_, row) in self.table.rows.items() if "config/delta/" in key
        }
        for plan_id in self.accepted:
            if plan_id not in carried:
                broken.append(f"the change of accepted plan {plan_id} is lost")
            state = self.table.rows[f"plan/{plan_id}"][1]["state"]
            if state not in ("running", "done"):
                broken.append(f"accepted plan {plan_id} is {state}")
        return broken
