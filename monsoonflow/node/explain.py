"""Tells in plain words what was decided and why."""

from __future__ import annotations

from ..core.journal import Event
from .context import NodeContext


def explain_request(context: NodeContext, request_id: str) -> list[str]:
    """Return what this node decided about a request, oldest first."""
    events = context.journal.events_of(request_id)
    if not events:
        return [f"{context.me.node} knows nothing of request {request_id} (any more)"]
    return _lines(context, events)


def explain_runner(context: NodeContext, runner_id: str) -> list[str]:
    """Return what this node decided about a runner, and how things stand."""
    lines = _lines(context, context.journal.events_of(runner_id))
    owned = context.core.owned_by_runner.get(runner_id)
    if owned is None:
        lines.append(f"{context.me.node} does not own {runner_id}")
        return lines
    runner = owned.runner
    lines.append(
        f"now: owned with fencing number {owned.fence}, {runner.running} of "
        f"{runner.limits.max_batch} places in use, {runner.queued} requests wait"
    )
    for slot in runner.slot_by_adapter.values():
        lines.append(f"slot: {slot.adapter} is {slot.state}, used by {len(slot.pins)} requests")
    for adapter, queue in runner.queue_by_adapter.items():
        waited_ms = context.now_ms() - queue.oldest_enqueued_ms()
        lines.append(f"queue: {queue.count} wait for {adapter}, the oldest for {waited_ms} ms")
    return lines


def _lines(context: NodeContext, events: list[Event]) -> list[str]:
    now_ms = context.now_ms()
    return [
        f"{now_ms - event.at_ms:>8} ms ago on {context.me.node}: {event.sentence()}"
        for event in events
    ]
