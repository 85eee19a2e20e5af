"""Relays a request to the node that owns its runner; to this node, that node is the backend."""

from __future__ import annotations

import ssl
from collections.abc import Iterator
from typing import Protocol

import orjson

from ..backend.models import Broken, Refused, StreamEvent
from ..backend.openai_http import read_stream
from ..helpers.http import HttpClient
from ..request.models import Terms

HEADER_NODE_TOKEN = "X-Node-Token"
HEADER_HOP = "X-Monsoonflow-Hop"
HEADER_CUSTOMER = "X-Monsoonflow-Customer"
HEADER_DEADLINE = "X-Monsoonflow-Deadline-Ms"
HEADER_REPEATABLE = "X-Monsoonflow-Repeatable"
HEADER_PRIORITY = "X-Monsoonflow-Priority"
HEADER_HOME = "X-Monsoonflow-Home"
HEADER_REQUEST = "X-Request-Id"
HEADER_KEY = "Idempotency-Key"


class Relay(Protocol):
    """Calls other nodes as a backend."""

    def run(
        self,
        address: str,
        terms: Terms,
        data: dict,
        attempt: int,
        time_left_ms: int,
        keyed: dict[str, str] | None = None,
    ) -> Iterator[StreamEvent]:
        """Send a request to another node."""

    def resume(
        self, address: str, customer: str, request_id: str, from_index: int
    ) -> Iterator[StreamEvent]:
        """Continue to read a request that another node drives."""


class RelayClient:
    """Calls other nodes as a backend."""

    def __init__(self, node_token: str, silence_ms: int, tls: ssl.SSLContext | None = None) -> None:
        self._token = node_token
        self._scheme = "https" if tls else "http"
        self._http = HttpClient(silence_ms, tls)

    def run(
        self,
        address: str,
        terms: Terms,
        data: dict,
        attempt: int,
        time_left_ms: int,
        keyed: dict[str, str] | None = None,
    ) -> Iterator[StreamEvent]:
        """Send a request to another node.

        :param keyed: the headers of an idempotency key, when the node is asked as the key's home;
            ``None`` when it is asked as the owner of the runner.
        """
        headers = {
            **self._headers(terms.customer),
            **(keyed if keyed is not None else {HEADER_HOP: "1"}),
            HEADER_REQUEST: f"{terms.request_id}.{attempt}",
            HEADER_DEADLINE: str(time_left_ms),
            HEADER_REPEATABLE: "true" if terms.repeatable else "false",
            HEADER_PRIORITY: str(terms.priority),
        }
        # The home of a key must see the model as the caller wrote it: the version in force may have
        # moved since the first try, and the key would seem to be used for another request.
        model = str(terms.adapter) if keyed is None else data["model"]
        body = orjson.dumps({**data, "model": model, "stream": True})
        url = f"{self._scheme}://{address}/v1/completions"
        head = self._http.open("POST", url, body, headers, fresh=not terms.repeatable)
        yield from read_stream(head)

    def resume(
        self, address: str, customer: str, request_id: str, from_index: int
    ) -> Iterator[StreamEvent]:
        """Continue to read a request that another node drives."""
        url = f"{self._scheme}://{address}/v1/requests/{request_id}/stream"
        headers = {**self._headers(customer), "Last-Event-ID": str(from_index - 1)}
        for event in read_stream(self._http.open("GET", url, headers=headers, fresh=True)):
            yield Broken(event.reason) if isinstance(event, Refused) else event

    def _headers(self, customer: str) -> dict[str, str]:
        return {
            HEADER_NODE_TOKEN: self._token,
            HEADER_CUSTOMER: customer,
            "Content-Type": "application/json",
        }
