"""Answers operators: status, intents, plans, explanations."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import bottle
import orjson

from ..configuration.models import Plan, converter
from ..configuration.planner import IntentError, PlanRequest, new_plan_id, propose, propose_undo
from ..configuration.store import StalePlan, WrongState
from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..node.config_loop import ConfigLoop, unix_ms
from ..node.context import NodeContext
from ..node.explain import explain_request, explain_runner
from ..request.parse import BadRequest
from ..storage.models import Unavailable
from .http import answer, bad, bearer, lower_headers, read_body, refuse, same_secret

_LOGGER = logging.getLogger(__name__)
INTENT_LIMIT_BYTES = 64 << 20


class OperatorApi:
    """Registers the operators' routes."""

    def __init__(self, context: NodeContext, config_loop: ConfigLoop) -> None:
        self._context = context
        self._config = config_loop

    def register(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.get("/v1/status", callback=self._guarded(self.status))
        app.post("/v1/intents", callback=self._guarded(self.intent))
        app.get("/v1/plans/<plan_id>", callback=self._guarded(self.plan))
        app.post("/v1/plans/<plan_id>/confirm", callback=self._guarded(self.confirm))
        app.get("/v1/burn", callback=self._guarded(self.burn))
        app.get("/v1/explain/requests/<request_id>", callback=self._guarded(self.request))
        app.get("/v1/explain/runners/<runner_id>", callback=self._guarded(self.runner))

    def status(self) -> Any:
        """Tell what this node knows of the fleet."""
        context = self._context
        now_ms = context.now_ms()
        nodes = [
            {
                "node": peer.row.node,
                "data_centre": peer.row.data_centre,
                "address": peer.row.http,
                "leaving": peer.is_leaving,
                "silent_ms": now_ms - peer.last_seen_ms,
                "config_version": peer.config_version,
            }
            for peer in context.membership.peer_by_incarnation.values()
        ]
        nodes.append(
            {
                "node": context.me.node,
                "data_centre": context.me.data_centre,
                "address": context.me.http,
                "leaving": context.stopping,
                "silent_ms": 0,
                "config_version": context.config.version,
            }
        )
        return answer(
            200,
            {
                "config_version": context.config.version,
                "in_force_everywhere": all(
                    node["config_version"] >= context.config.version for node in nodes
                ),
                "lease_held": context.lease.is_held(now_ms),
                "nodes": sorted(nodes, key=lambda node: node["node"]),
                "runners": [self._runner_row(name) for name in sorted(context.config.runner_by_id)],
                "customers": len(context.config.customer_by_name),
                "adapters": len(context.config.adapter_by_name),
            },
        )

    def intent(self) -> Any:
        """Make a plan from an intent; nothing else changes."""
        body = read_body(INTENT_LIMIT_BYTES)
        if isinstance(body, BadRequest):
            return bad(body)
        try:
            intent = orjson.loads(body)
        except orjson.JSONDecodeError:
            return refuse(400, "the intent is not JSON")
        self._config.read()
        plan = self._propose(intent)
        if isinstance(plan, IntentError):
            return refuse(400, plan.reason)
        if isinstance(plan, Unavailable) or not self._config.store.save_plan(plan, new_id("op")):
            return refuse(503, "the table service does not answer", retry_after_ms=2_000)
        _LOGGER.info("%s", pairs(event="plan_made", plan=plan.plan_id, steps=len(plan.steps)))
        return answer(200, plan_view(plan))

    def plan(self, plan_id: str) -> Any:
        """Show a plan and how far it is."""
        found = self._config.store.plan(plan_id)
        if found is None:
            return refuse(404, "unknown plan")
        if isinstance(found, Unavailable):
            return refuse(503, "the table service does not answer", retry_after_ms=2_000)
        return answer(200, plan_view(found[0]))

    def confirm(self, plan_id: str) -> Any:
        """Confirm a plan; from the answer on it is durable."""
        result = self._config.store.confirm(plan_id, new_id("op"), unix_ms())
        match result:
            case Plan():
                self._config.read()
                self._context.journal.record(plan_id, "confirmed", state=result.state)
                return answer(200, plan_view(result))
            case StalePlan(base_version=base, head_version=head):
                reason = f"stale plan: made against version {base}, now at {head}; make it again"
                return refuse(409, reason)
            case WrongState(state=state):
                return refuse(409, f"the plan is {state}")
            case Unavailable(ambiguous=True):
                body = {
                    "error": {
                        "message": "no clear answer from the table service; ask for the plan's "
                        "state or confirm again",
                        "outcome": "unknown",
                    }
                }
                return answer(503, body, {"Retry-After": "2"})
            case Unavailable():
                return refuse(503, "the table service does not answer", retry_after_ms=2_000)
            case None:
                return refuse(404, "unknown plan")

    def burn(self) -> Any:
        """Return this node's counts against the objectives."""
        objectives = self._context.config.objective_by_name.values()
        return answer(
            200,
            {
                "objectives": [converter.unstructure(entry) for entry in objectives],
                "counts": self._context.burn.counts(),
            },
        )

    def request(self, request_id: str) -> Any:
        """Tell what was decided about a request."""
        return answer(200, {"lines": explain_request(self._context, request_id)})

    def runner(self, runner_id: str) -> Any:
        """Tell what was decided about a runner."""
        return answer(200, {"lines": explain_runner(self._context, runner_id)})

    def _propose(self, intent: Any) -> Plan | IntentError | Unavailable:
        context = self._context
        request = PlanRequest(
            new_plan_id("operator", intent, new_id("n")),
            "operator",
            unix_ms(),
            context.settings["loads-per-second"],
        )
        if isinstance(intent, dict) and intent.get("kind") == "undo":
            found = self._config.store.plan(str(intent.get("plan_id", "")))
            if found is None:
                return IntentError("unknown plan")
            if isinstance(found, Unavailable):
                return found
            return propose_undo(found[0], context.config, request)
        return propose(intent, context.config, request)

    def _runner_row(self, runner_id: str) -> dict[str, Any]:
        context = self._context
        incarnation = context.owner_of(runner_id)
        peer = context.membership.peer_by_incarnation.get(incarnation or "")
        owner = context.me.node if incarnation == context.me.incarnation else None
        owned = context.core.owned_by_runner.get(runner_id)
        row: dict[str, Any] = {
            "runner": runner_id,
            "owner": owner or (peer.row.node if peer else None),
            "draining": context.config.runner_by_id[runner_id].draining,
        }
        if owned is not None:
            row["queued"] = owned.runner.queued
            row["running"] = owned.runner.running
            row["resident"] = [str(adapter) for adapter in owned.runner.resident()]
        return row

    def _guarded(self, handler: Callable[..., Any]) -> Callable[..., Any]:
        """Let a handler run only for operators."""

        def guarded(**arguments: str) -> Any:
            headers = lower_headers()
            if isinstance(headers, BadRequest):
                return bad(headers)
            token = bearer(headers)
            if not token:
                return answer(
                    401,
                    {"error": {"message": "an operator token is needed", "outcome": "not_run"}},
                    {"WWW-Authenticate": "Bearer"},
                )
            if not same_secret(token, self._context.settings["operator-token"]):
                return refuse(403, "not an operator's token")
            return handler(**arguments)

        return guarded


def plan_view(plan: Plan) -> dict[str, Any]:
    """Return a plan as operators see it: without the adapters' whole lists."""
    data = converter.unstructure(plan)
    return {
        "plan_id": plan.plan_id,
        "state": plan.state,
        "base_version": plan.base_version,
        "kind": plan.intent.get("kind"),
        "steps": [
            {
                "title": step["title"],
                "not_before_unix_ms": step["not_before_unix_ms"],
                "done": number < plan.steps_done,
            }
            for number, step in enumerate(data["steps"])
        ],
        "effects": data["effects"],
        "assumptions": data["assumptions"],
        "loads": plan.loads,
        "load_seconds": plan.load_seconds,
    }
