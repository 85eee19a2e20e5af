"""Client of the model runners' control API: runner reports and orders."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Final

import orjson

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..helpers.strict import read
from ..logs import events, log
from ..orders.models import (
    Accepted,
    Gone,
    Order,
    OrderResult,
    RunnerReport,
    Stale,
    Superseded,
    Unanswered,
    Unusable,
)
from ..transport.client import Answer, ConnectionPools, call
from ..transport.models import Header, Lost
from .headers import says_leaving
from .schema import ReportFields
from .servers import decode_held_models, parse_adapter_ref, to_server_life

_LOGGER = logging.getLogger(__name__)
ORDER_TIMEOUT_MS: Final = 120
"""Longest wait for the answer to an order: forty round trips. The order is then sent again under
the same condition, which is safe; a longer wait would block all other orders to that runner."""

REPORT_TIMEOUT_MS: Final = 700


class PlatformRunnerControl:
    """Sends orders to model runners and fetches their reports.

    :param on_leaving: called when a runner states that it is shutting down, with the answer that
        says so.
    """

    def __init__(
        self,
        clock: Clock,
        on_leaving: Callable[[ServerLife, str], None] = lambda _life, _source: None,
    ) -> None:
        self._on_leaving = on_leaving
        self._pools = ConnectionPools(clock, max_idle=2)

    def fetch_report(self, life: ServerLife, address: str) -> RunnerReport | Gone | None:
        """Return a runner's report, which may be some hundred milliseconds old.

        ``Gone``: another server answers at the address. ``None``: no usable answer.
        """
        answer = self._call("GET", "/v1/report", b"", life, address, REPORT_TIMEOUT_MS)
        if isinstance(answer, Lost):
            return None
        if answer.head.status == 421:
            return Gone()
        if answer.head.status != 200:
            return None
        report = _decode_report(life, answer.body)
        if isinstance(report, str):
            log(_LOGGER, events.UnusableReport(server=life, cause=report))
            return None
        return report

    def send_order(self, life: ServerLife, address: str, order: Order) -> OrderResult:
        """Send an order once, without retries.

        On the wire, ``expectedRev`` is the number of orders that the runner must have accepted so
        far, ``dutyHolder`` the lease holder and ``fenceToken`` the epoch of the cell lease.
        """
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
            "POST", "/v1/order", orjson.dumps(body), life, address, ORDER_TIMEOUT_MS
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

    def close_connections(self, address: str) -> None:
        """Close the idle connections to a runner that was removed."""
        self._pools.close_idle(address)

    def _call(
        self, method: str, target: str, body: bytes, life: ServerLife, address: str, timeout_ms: int
    ) -> Answer | Lost:
        headers: list[Header] = [(b"X-Expect-Instance", life.server_id.encode("latin-1"))]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        answer = call(self._pools, address, method, target, body, timeout_ms, tuple(headers))
        if isinstance(answer, Answer) and says_leaving(answer.head):
            self._on_leaving(life, f"the answer to {target}")
        return answer


def _decode_report(expected_life: ServerLife, body: bytes) -> RunnerReport | str:
    """Return a runner's decoded report, or why it is invalid."""
    fields = read(body, ReportFields)
    if isinstance(fields, str):
        return fields
    life = to_server_life(expected_life.server_id, fields.born)
    if life.born_ms is None and expected_life.born_ms is not None:
        return "born is missing"
    models = decode_held_models(fields.models)
    if isinstance(models, str):
        return models
    loading_adapters = [parse_adapter_ref(text) for text in fields.incoming]
    error = next((ref for ref in loading_adapters if isinstance(ref, str)), None)
    if error is not None:
        return error
    return RunnerReport(
        life=life,
        sequence=fields.sequence,
        is_changing_model=fields.busy,
        models=models,
        loading_adapters=tuple(loading_adapters),
        running_requests=fields.active,
        waiting_requests=fields.queued,
        memory_used=int(fields.kv_used),
        memory_total=int(fields.kv_total),
    )
