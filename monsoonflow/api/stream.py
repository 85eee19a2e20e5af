"""Shapes answers as the usual completion objects, streamed and whole."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..backend.openai_http import HEADER_RUN, HEADER_SERVED
from ..core.clock import Clock
from ..core.outcome import Done
from ..helpers import sse
from ..node.const import KEEP_ALIVE_MS
from ..node.served import Served
from .errors import outcome_body


def head_fields(served: Served) -> dict[str, str]:
    """Return the headers that name a request and what it runs on."""
    return {
        HEADER_RUN: served.request_id,
        HEADER_SERVED: str(served.life.terms.adapter),
    }


def event_stream(served: Served, from_index: int, chat: bool, clock: Clock) -> Iterator[bytes]:
    """Yield an answer as server-sent events, with a keep-alive in each quiet second.

    Chunks that are ready together leave in one write: under load that saves most of the cost of a
    chunk. The end event carries the count and the digest of all that came before, so an answer
    that was cut is never taken for whole.
    """
    pending = b""
    model = str(served.life.terms.adapter)
    # The comment makes the head of the answer leave before the first chunk is there.
    yield sse.KEEP_ALIVE
    for item in served.read(from_index, clock, KEEP_ALIVE_MS):
        if item is None:
            yield sse.KEEP_ALIVE
            continue
        index, text = item
        pending += sse.encode(_chunk(served.request_id, model, text, chat), event_id=index)
        if index + 1 >= len(served.life.chunks):
            yield pending
            pending = b""
    outcome = served.outcome
    assert outcome is not None
    if isinstance(outcome, Done):
        yield pending + sse.encode(_end(served, outcome, chat)) + sse.DONE
    else:
        yield pending + sse.encode(outcome_body(outcome, served.request_id), name="error")


def whole(served: Served, outcome: Done, chat: bool) -> dict[str, Any]:
    """Return a whole answer as one object."""
    text = "".join(served.life.chunks)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": served.request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": str(served.life.terms.adapter),
        "choices": [choice],
        "usage": {"completion_tokens": outcome.chunks},
        "digest": outcome.digest,
    }


def _chunk(request_id: str, model: str, text: str, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {"id": request_id, "object": kind, "model": model, "choices": [choice]}


def _end(served: Served, outcome: Done, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    choice.update({"delta": {}} if chat else {"text": ""})
    return {
        "id": served.request_id,
        "model": str(served.life.terms.adapter),
        "choices": [choice],
        "usage": {"completion_tokens": outcome.chunks},
        "digest": outcome.digest,
    }
