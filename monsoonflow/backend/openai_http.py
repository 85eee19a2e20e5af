"""Speaks the HTTP surface that engines which serve LoRA adapters publish."""

from __future__ import annotations

import ssl
from collections.abc import Iterator
from itertools import pairwise
from typing import Any, Final

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from ..core.adapter import AdapterRef, parse_ref
from ..helpers import sse
from ..helpers.http import Answer, Head, HttpClient, Lost, describe
from .models import (
    Began,
    Broken,
    CacheEvent,
    CacheFeed,
    Chunk,
    Cut,
    Ended,
    EngineState,
    OrderDone,
    OrderRefused,
    OrderResult,
    OrderStamp,
    OrderUnclear,
    Refused,
    StreamEvent,
    Unclear,
)

HEADER_RUN: Final = "X-Request-Id"
HEADER_FENCE: Final = "X-Fencing-Number"
HEADER_PRIORITY: Final = "X-Priority"
HEADER_SERVED: Final = "X-Served-Adapter"
HEADER_BOOT: Final = "X-Boot-Id"
LOAD_TIMEOUT_MS: Final = 60_000
READ_BYTES: Final = 65_536
"""Maximum bytes per read: a chunk may have any size."""


def read_stream(head: Head | Lost) -> Iterator[StreamEvent]:
    """Yield the events of a streamed answer; the same framing is used between nodes.

    The end of the byte stream without an end marker is a cut, whatever the status said.
    """
    if isinstance(head, Lost):
        yield Cut(head.reason, sent=head.sent)
        return
    response = head.response
    if head.status != 200:
        yield _not_ok(head)
        return
    told = response.headers
    yield Began(told.get(HEADER_SERVED, ""), told.get(HEADER_BOOT, ""), told.get(HEADER_RUN, ""))
    clean = False
    try:
        for event in sse.decode(response.read_chunked(READ_BYTES)):
            translated = _translate(event)
            if translated is None:
                continue
            clean = isinstance(translated, Ended)
            yield translated
            if not isinstance(translated, Chunk):
                return
        yield Cut("the stream ended without its end marker")
    except (HTTPError, OSError) as error:
        yield Cut(describe(error))
    finally:
        _dispose(response, clean)


def _dispose(response: urllib3.BaseHTTPResponse, clean: bool) -> None:
    """Return a connection to its pool only when the answer was read to its end."""
    if clean:
        try:
            response.drain_conn()
        except (HTTPError, OSError):
            response.close()
            return
        response.release_conn()
    else:
        response.close()


def _not_ok(head: Head) -> StreamEvent:
    """Translate a status other than 200.

    Only an answer that says itself that nothing ran counts as a refusal; any other status may come
    from a server that ran the request first.
    """
    try:
        data = orjson.loads(head.response.read(65_536) or b"{}")
    except (HTTPError, OSError, orjson.JSONDecodeError):
        data = {}
    finally:
        head.response.close()
    error = data.get("error", {}) if isinstance(data, dict) else {}
    return _final(error, head.status) or Cut(f"status {head.status}")


def _final(error: dict, status: int = 503) -> StreamEvent | None:
    reason = str(error.get("message", ""))
    match error.get("outcome"):
        case "not_run":
            return Refused(reason, error.get("retry_after_ms"), status)
        case "failed":
            return Broken(reason)
        case "unknown":
            return Unclear(reason)
        case _:
            return None


def _translate(event: sse.SseEvent) -> StreamEvent | None:
    if not event.data or event.data == b"[DONE]":
        return None
    data = event.json()
    if not isinstance(data, dict):
        return Cut("malformed event")
    if event.name == "error":
        return _final(data.get("error", {})) or Broken("malformed error")
    if "digest" in data:
        return Ended(int(data["usage"]["completion_tokens"]), str(data["digest"]))
    if event.event_id is None:
        return None
    return Chunk(event.event_id, str(data["choices"][0]["text"]))


class OpenAiEngine:
    """An engine reached over HTTP.

    :param silence_ms: the longest time without a byte before a connection counts as lost; engines
        send keep-alive comments more often.
    """

    def __init__(self, address: str, silence_ms: int, tls: ssl.SSLContext | None = None) -> None:
        self._base = address.rstrip("/")
        self._http = HttpClient(silence_ms, tls)

    def run(
        self, stamp: OrderStamp, adapter: AdapterRef, body: dict, fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a request and yield what comes back; the last event ends the stream."""
        payload = orjson.dumps({**body, "model": str(adapter), "stream": True})
        headers = {**_stamp_headers(stamp), "Content-Type": "application/json"}
        yield from read_stream(
            self._http.open("POST", f"{self._base}/v1/completions", payload, headers, fresh)
        )

    def resume(self, run_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Continue to read a run that was begun before."""
        url = f"{self._base}/v1/requests/{run_id}/stream"
        headers = {"Last-Event-ID": str(from_index - 1)}
        yield from read_stream(self._http.open("GET", url, headers=headers, fresh=True))

    def cancel(self, stamp: OrderStamp) -> OrderResult:
        """Stop a run; done also when there is no such run."""
        return self._order(f"/v1/requests/{stamp.run_id}/cancel", {}, stamp.fence)

    def load(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Load an adapter into a free slot."""
        body = {"lora_name": str(adapter), "lora_path": str(adapter)}
        return self._order("/v1/load_lora_adapter", body, fence, LOAD_TIMEOUT_MS)

    def unload(self, adapter: AdapterRef, fence: int) -> OrderResult:
        """Unload an adapter."""
        return self._order("/v1/unload_lora_adapter", {"lora_name": str(adapter)}, fence)

    def fence(self, number: int) -> OrderResult:
        """Tell the engine the number below which it shall refuse orders."""
        return self._order("/v1/fence", {}, number)

    def export_kv(self, run_id: str) -> bytes | None:
        """Return the KV cache of a run, or ``None`` when the engine has none to give."""
        match self._http.call("GET", f"{self._base}/v1/requests/{run_id}/kv"):
            case Answer(status=200, is_end_stated=True, body=body):
                return body
            case _:
                return None

    def import_kv(self, stamp: OrderStamp, body: bytes) -> OrderResult:
        """Give a run's KV cache to this engine."""
        url = f"{self._base}/v1/requests/{stamp.run_id}/kv"
        head = self._http.open("PUT", url, body, _stamp_headers(stamp), fresh=True)
        if isinstance(head, Lost):
            return OrderUnclear(head.reason) if head.sent else OrderRefused(head.reason)
        head.response.close()
        if head.status == 200:
            return OrderDone()
        return OrderRefused(f"status {head.status}", stale_fence=head.status == 409)

    def set_role(self, role: str, fence: int) -> OrderResult:
        """Order the engine to prefill, to decode, or to do both."""
        return self._order("/v1/role", {"role": role}, fence)

    def cache_events(self, after: int) -> CacheFeed | None:
        """Return the prefix-cache events after a number, or ``None`` without an answer."""
        result = self._http.call("GET", f"{self._base}/v1/cache_events?after={after}")
        if not isinstance(result, Answer) or result.status != 200:
            return None
        data = result.json_object()
        if data is None:
            return None
        events = tuple(
            CacheEvent(entry["number"], entry["kind"], entry["prefix"]) for entry in data["events"]
        )
        numbers = [after, *(event.number for event in events)]
        gap = any(later != earlier + 1 for earlier, later in pairwise(numbers))
        return CacheFeed(data["boot_id"], events, gap)

    def state(self) -> EngineState | None:
        """Return what the engine says of itself now, or ``None`` when it does not answer."""
        result = self._http.call("GET", f"{self._base}/v1/load")
        if not isinstance(result, Answer) or result.status != 200:
            return None
        return _state(result.json())

    def _order(
        self, path: str, body: dict, fence: int, timeout_ms: int | None = None
    ) -> OrderResult:
        headers = {HEADER_FENCE: str(fence)}
        result = self._http.call("POST", self._base + path, body, headers, timeout_ms)
        match result:
            case Answer(status=200):
                return OrderDone()
            case Answer(status=409):
                return OrderRefused("stale fencing number", stale_fence=True)
            case Answer(status=status):
                data = result.json()
                reason = data.get("error", {}).get("message") if isinstance(data, dict) else None
                return OrderRefused(reason or f"status {status}")
            case Lost(sent=False, reason=reason):
                return OrderRefused(reason)
            case Lost(reason=reason):
                return OrderUnclear(reason)


def _stamp_headers(stamp: OrderStamp) -> dict[str, str]:
    return {
        HEADER_RUN: stamp.run_id,
        HEADER_FENCE: str(stamp.fence),
        HEADER_PRIORITY: str(stamp.priority),
    }


def _state(data: Any) -> EngineState | None:
    if not isinstance(data, dict):
        return None
    resident = [ref for name in data["resident"] if (ref := parse_ref(name))]
    running = {run: ref for run, name in data["running"].items() if (ref := parse_ref(name))}
    return EngineState(
        boot_id=data["boot_id"],
        slots=data["slots"],
        max_batch=data["max_batch"],
        resident=tuple(resident),
        running=running,
        leaving=data.get("leaving", False),
    )
