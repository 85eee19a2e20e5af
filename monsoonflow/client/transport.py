"""Carries the client's calls over HTTP."""

from __future__ import annotations

import ssl
import time
from collections.abc import Iterator
from typing import Any, Protocol
from urllib.parse import quote

import attrs
import orjson

from ..backend.models import StreamEvent
from ..backend.openai_http import read_stream
from ..helpers.http import Answer, HttpClient
from .models import Address

LOOKUP_TIMEOUT_MS = 2_000


@attrs.frozen(slots=True)
class Found:
    """A node's answer to the question which nodes to use."""

    addresses: list[Address]
    good_for_ms: int


class Transport(Protocol):
    """What the client needs of the network."""

    def lookup(self, seed: str, model: str) -> Found | None:
        """Ask a node which nodes to use; ``None`` when it does not answer."""

    def send(
        self, address: str, headers: dict[str, str], body: dict[str, Any], fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a completion request."""

    def resume(self, address: str, request_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Go on with a cut answer."""

    def sleep(self, wait_ms: int) -> None:
        """Let a time pass."""


class HttpTransport:
    """Reaches nodes over HTTP.

    :param key: the customer's bearer key.
    :param silence_ms: the longest time without a byte before a connection counts as lost.
    :param tls: a context, where nodes speak TLS.
    """

    def __init__(self, key: str, silence_ms: int, tls: ssl.SSLContext | None = None) -> None:
        self._auth = {"Authorization": f"Bearer {key}"}
        self._http = HttpClient(silence_ms, tls)
        self._scheme = "https" if tls else "http"

    def lookup(self, seed: str, model: str) -> Found | None:
        """Ask a node which nodes to use; ``None`` when it does not answer."""
        host = seed.partition("://")[2]
        url = f"{self._scheme}://{host}/v1/address?model={quote(model, safe='')}"
        result = self._http.call("GET", url, headers=self._auth, timeout_ms=LOOKUP_TIMEOUT_MS)
        if not isinstance(result, Answer) or result.status != 200:
            return None
        data = result.json_object()
        if data is None:
            return None
        addresses = [Address(entry["address"], entry["home"]) for entry in data["addresses"]]
        return Found(addresses, data["good_for_ms"])

    def send(
        self, address: str, headers: dict[str, str], body: dict[str, Any], fresh: bool
    ) -> Iterator[StreamEvent]:
        """Send a completion request."""
        url = f"{self._scheme}://{address}/v1/completions"
        all_headers = {**self._auth, **headers, "Content-Type": "application/json"}
        yield from read_stream(self._http.open("POST", url, orjson.dumps(body), all_headers, fresh))

    def resume(self, address: str, request_id: str, from_index: int) -> Iterator[StreamEvent]:
        """Go on with a cut answer."""
        url = f"{self._scheme}://{address}/v1/requests/{request_id}/stream"
        headers = {**self._auth, "Last-Event-ID": str(from_index - 1)}
        yield from read_stream(self._http.open("GET", url, headers=headers, fresh=True))

    def sleep(self, wait_ms: int) -> None:
        """Let a time pass."""
        time.sleep(wait_ms / 1000)
