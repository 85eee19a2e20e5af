"""Speaks to model runners: reports and orders."""

from __future__ import annotations

from typing import Any, Final

import orjson

from ..core.adapter import AdapterRef
from ..core.clock import Clock
from ..orders.models import (
    Accepted,
    Gone,
    Order,
    OrderAnswer,
    RunnerReport,
    Stale,
    Superseded,
    Unanswered,
    Unusable,
)
from ..transport.client import Answer, Pools, call
from ..transport.models import Header, Lost
from .servers import held_models

ORDER_TIMEOUT_MS: Final = 120
"""Longest wait for the answer to an order: forty round trips. After it the order is sent again
under the same condition, which is safe; waiting longer stops all other orders to that runner."""

REPORT_TIMEOUT_MS: Final = 700


class EngineControl:
    """Sends orders to runners and reads their reports."""

    def __init__(self, clock: Clock) -> None:
        self._pools = Pools(clock, max_idle=2)

    def report(self, server_id: str, address: str) -> RunnerReport | Gone | None:
        """Return what a runner says of itself, some hundred milliseconds old."""
        answer = self._call("GET", "/v1/report", b"", server_id, address, REPORT_TIMEOUT_MS)
        if isinstance(answer, Lost):
            return None
        if answer.head.status == 421:
            return Gone()
        if answer.head.status != 200:
            return None
        try:
            return _report(orjson.loads(answer.body))
        except (ValueError, KeyError, TypeError, AttributeError):
            return None

    def order(self, server_id: str, address: str, order: Order) -> OrderAnswer:
        """Send an order once."""
        model, _, adapter = order.name.partition("/")
        body: dict[str, Any] = {
            "operation": order.operation.value,
            "model": model,
            "expectedRev": order.sequence,
            "dutyHolder": order.holder,
            "fenceToken": order.fence,
        }
        if adapter:
            body["adapter"] = adapter
        if order.version is not None:
            body["version"] = order.version
        answer = self._call(
            "POST", "/v1/order", orjson.dumps(body), server_id, address, ORDER_TIMEOUT_MS
        )
        if isinstance(answer, Lost):
            return Unanswered(answer.reason) if answer.sent else Unusable(answer.reason)
        match answer.head.status:
            case 200:
                return Accepted(complete=True)
            case 202:
                return Accepted(complete=False)
            case 409:
                return Stale(answer.body[:200].decode("latin-1"))
            case 412:
                return Superseded()
            case 421:
                return Gone()
            case status if status >= 500 and answer.head.value(b"x-not-executed") is None:
                return Unanswered(f"status {status}")
            case status:
                return Unusable(f"status {status} {answer.body[:100]!r}")

    def forget(self, address: str) -> None:
        """Close the connections to a runner that is gone."""
        self._pools.forget(address)

    def _call(
        self, method: str, target: str, body: bytes, server_id: str, address: str, timeout_ms: int
    ) -> Answer | Lost:
        headers: list[Header] = [(b"X-Expect-Instance", server_id.encode("latin-1"))]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        return call(self._pools, address, method, target, body, timeout_ms, tuple(headers))


def _report(data: dict[str, Any]) -> RunnerReport:
    return RunnerReport(
        sequence=int(data["sequence"]),
        busy=bool(data.get("busy", False)),
        models=held_models(data.get("models") or ()),
        incoming=tuple(_incoming(str(text)) for text in data.get("incoming") or ()),
        running=int(data.get("active", 0)),
        waiting=int(data.get("queued", 0)),
        memory_used=int(data.get("kvUsed", 0)),
        memory_total=int(data.get("kvTotal", 0)),
    )


def _incoming(text: str) -> AdapterRef:
    name, _, version = text.partition("@")
    return AdapterRef(name, int(version or 1))
