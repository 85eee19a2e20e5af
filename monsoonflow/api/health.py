"""Answers probes and metric collectors."""

from __future__ import annotations

from typing import Any

import bottle
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..node.context import NodeContext
from .http import answer


class HealthApi:
    """Registers the probes' routes."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def register(self, app: bottle.Bottle) -> None:
        """Add the routes to an application."""
        app.get("/healthz", callback=self.health)
        app.get("/readyz", callback=self.ready)
        app.get("/metrics", callback=self.metrics)

    def health(self) -> Any:
        """Tell that the process runs."""
        return answer(200, {"status": "ok"})

    def ready(self) -> Any:
        """Tell whether the node takes new work."""
        ready = self._context.takes_new_work()
        return answer(200 if ready else 503, {"ready": ready})

    def metrics(self) -> Any:
        """Return the metrics."""
        context = self._context
        owned = context.core.owned_by_runner.values()
        context.metrics.queued.set(sum(entry.runner.queued for entry in owned))
        context.metrics.owned.set(len(context.core.owned_by_runner))
        body = generate_latest(context.metrics.registry)
        return bottle.HTTPResponse(body, 200, {"Content-Type": CONTENT_TYPE_LATEST})
