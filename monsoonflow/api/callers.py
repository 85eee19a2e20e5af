"""Answers callers: addresses, completions, resumed streams."""

from __future__ import annotations

from typing import Any

import bottle

from ..address.node_order import order_nodes
from ..core.adapter import parse_model
from ..core.outcome import Done
from ..node.const import HEAD_WAIT_MS
from ..node.context import NodeContext, home_of
from ..node.intake import Arrival, Intake, Rejected
from ..node.relay import HEADER_HOP, HEADER_REQUEST
from ..node.router import owner_for
from ..node.served import Served
from ..request.parse import BadRequest, parse_completion, parse_terms
from .http import answer, bad, ended_badly, from_node, identify, read_body, refuse
from .stream import event_stream, head_fields, whole


class CallerApi:
    """Registers the callers' routes."""

    def __init__(self, context: NodeContext, intake: Intake) -> None:
        self._context = context
        self._intake = intake

    def register(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.get("/v1/address", callback=self.address)
        app.get("/v1/models", callback=self.models)
        app.post("/v1/completions", callback=lambda: self.complete(chat=False))
        app.post("/v1/chat/completions", callback=lambda: self.complete(chat=True))
        app.get("/v1/requests/<request_id>/stream", callback=self.resume)

    def address(self) -> Any:
        """Tell a caller which nodes to use for a model, best first."""
        context = self._context
        caller = identify(context)
        if isinstance(caller, bottle.HTTPResponse):
            return caller
        preferred = None
        model = bottle.request.query.get("model", "")
        if model:
            parsed = parse_model(model)
            if parsed is None:
                return refuse(400, "model must be ADAPTER or ADAPTER@VERSION")
            adapter = context.config.resolve(caller.customer.name, *parsed)
            if isinstance(adapter, str):
                return refuse(404, adapter)
            preferred = owner_for(context, adapter)
        nodes = order_nodes(context.serving_nodes(), preferred, model or caller.customer.name)
        if not nodes:
            return refuse(503, "no node takes new work", retry_after_ms=1_000)
        return answer(
            200,
            {
                "addresses": [
                    {"node": node.node, "address": node.http, "home": home_of(node.incarnation)}
                    for node in nodes
                ],
                "good_for_ms": context.settings["address-ttl-ms"],
            },
        )

    def models(self) -> Any:
        """List the customer's own adapters."""
        caller = identify(self._context)
        if isinstance(caller, bottle.HTTPResponse):
            return caller
        adapters = self._context.config.adapters_of(caller.customer.name)
        data = [
            {"id": f"{adapter.name}@{version}", "object": "model"}
            for adapter in adapters
            for version in adapter.versions
            if version not in adapter.closing
        ]
        return answer(200, {"object": "list", "data": data})

    def complete(self, chat: bool) -> Any:
        """Run a completion."""
        context = self._context
        caller = identify(context)
        if isinstance(caller, bottle.HTTPResponse):
            return caller
        terms = parse_terms(caller.headers)
        if isinstance(terms, BadRequest):
            return bad(terms)
        body = read_body(context.settings["max-body-bytes"])
        if isinstance(body, BadRequest):
            return bad(body)
        completion = parse_completion(body, chat)
        if isinstance(completion, BadRequest):
            return bad(completion)
        by_node = from_node(context, caller.headers)
        arrival = Arrival(
            caller.customer.name,
            completion,
            terms,
            relayed_id=caller.headers.get(HEADER_REQUEST.lower()) if by_node else None,
            hop=by_node and HEADER_HOP.lower() in caller.headers,
        )
        admitted = self._intake.admit(arrival)
        if isinstance(admitted, Rejected):
            return ended_badly(admitted.outcome, admitted.request_id)
        if completion.stream:
            return self._streamed(admitted, 0, chat)
        return self._whole(admitted, chat)

    def resume(self, request_id: str) -> Any:
        """Go on with an answer from the chunk after the last one that arrived."""
        context = self._context
        caller = identify(context)
        if isinstance(caller, bottle.HTTPResponse):
            return caller
        last = caller.headers.get("last-event-id", "-1")
        if not last.removeprefix("-").isdigit():
            return refuse(400, "Last-Event-ID must be a whole number")
        served = context.served_by_id.get(request_id)
        if served is None or served.life.terms.customer != caller.customer.name:
            body = {"error": {"message": "the request is not known here", "outcome": "unknown"}}
            return answer(404, body)
        chat = bottle.request.query.get("shape") == "chat"
        return self._streamed(served, max(0, int(last) + 1), chat)

    def _streamed(self, served: Served, from_index: int, chat: bool) -> Any:
        self._wait_for_head(served)
        outcome = served.outcome
        if outcome is not None and not isinstance(outcome, Done) and not served.life.chunks:
            return ended_badly(outcome, served.request_id)
        fields = {**head_fields(served), "Content-Type": "text/event-stream"}
        return bottle.HTTPResponse(
            event_stream(served, from_index, chat, self._context.clock), 200, fields
        )

    def _wait_for_head(self, served: Served) -> None:
        """Wait a moment for the first chunk, so that an early refusal gets its own status.

        A key's home may have pinned another version than this node would; the head tells which, so
        it has to wait for the home's word.
        """
        while served.awaits_version() and not served.life.ended:
            served.signal.wait(HEAD_WAIT_MS)
        left_ms = HEAD_WAIT_MS
        while not served.life.chunks and not served.life.ended and left_ms > 0:
            before_ms = self._context.now_ms()
            served.signal.wait(left_ms)
            left_ms -= max(1, self._context.now_ms() - before_ms)

    def _whole(self, served: Served, chat: bool) -> Any:
        for _ in served.read(0, self._context.clock, 60_000):
            pass
        outcome = served.outcome
        if isinstance(outcome, Done):
            return answer(200, whole(served, outcome, chat), head_fields(served))
        return ended_badly(outcome, served.request_id)
