"""Passes calls to plain services on, bodies streamed both ways."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterator
from typing import Any, Final

import bottle
from urllib3.exceptions import HTTPError

from ..core.outcome import NotRun, Outcome, Unknown, tag
from ..helpers.http import Head, HttpClient, Lost
from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..node.context import NodeContext
from ..request.parse import BadRequest, Terms, parse_terms
from ..routing.keys import KeyClash, KeysFull, KnownKey
from .http import READ_PIECE, bad, ended_badly, identify, refuse

_LOGGER = logging.getLogger(__name__)
HOP_HEADERS: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
METHODS: Final = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]


class BodyCut(Exception):
    """Ends an answer without its proper end, so that the caller sees that it was cut."""


class ServiceApi:
    """Registers the plain services' route."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._http = HttpClient(context.settings["silence-ms"])

    def register(self, app: bottle.Bottle) -> None:
        """Add the route to an application."""
        app.route("/services/<name>", METHODS, lambda name: self.call(name, ""))
        app.route("/services/<name>/<path:path>", METHODS, self.call)

    def call(self, name: str, path: str) -> Any:
        """Pass one call on to a server of the service."""
        context = self._context
        caller = identify(context)
        if isinstance(caller, bottle.HTTPResponse):
            return caller
        terms = parse_terms(caller.headers)
        if isinstance(terms, BadRequest):
            return bad(terms)
        entry = context.config.service_by_name.get(name)
        if entry is None or (entry.customers and caller.customer.name not in entry.customers):
            return refuse(404, "unknown service")
        if not context.takes_new_work():
            return refuse(503, "this node takes no new work", retry_after_ms=500)
        request_id = new_id("s")
        refused = self._admit_key(caller.customer.name, terms, request_id, f"{name}/{path}")
        if refused is not None:
            return ended_badly(refused, request_id)
        method = bottle.request.method
        repeatable = terms.repeatable and method in SAFE_METHODS
        context.service_calls += 1
        result = self._try_servers(entry.addresses, path, caller.headers, request_id, repeatable)
        self._release_key(caller.customer.name, terms, ran=not isinstance(result, NotRun))
        if isinstance(result, Head):
            return result.response
        context.service_calls -= 1
        _LOGGER.info(
            "%s",
            pairs(
                event="service_call_failed",
                request=request_id,
                customer=caller.customer.name,
                service=name,
                outcome=tag(result),
                cause=result.reason,
            ),
        )
        return ended_badly(result, request_id)

    def _admit_key(
        self, customer: str, terms: Terms, request_id: str, target: str
    ) -> Outcome | None:
        """Refuse a call whose key was used before; answers of services are not kept."""
        if terms.key is None:
            return None
        if terms.home not in (None, self._context.home) and terms.tries != 1:
            return Unknown("another node took this key first")
        digest = hashlib.sha256(target.encode()).digest()
        key = f"service\x00{terms.key}"
        verdict = self._context.keys.admit(
            customer, key, digest, request_id, self._context.now_ms()
        )
        match verdict:
            case KnownKey():
                return Unknown("the key was used before; the first call may have run")
            case KeyClash():
                return NotRun("the key was used for another call", status=422)
            case KeysFull():
                return NotRun("too many keys are kept", 10_000)
            case _:
                return None

    def _release_key(self, customer: str, terms: Terms, ran: bool) -> None:
        if terms.key is not None:
            key = f"service\x00{terms.key}"
            self._context.keys.ended(customer, key, self._context.now_ms(), ran)

    def _try_servers(
        self,
        addresses: tuple[str, ...],
        path: str,
        headers: dict[str, str],
        request_id: str,
        repeatable: bool,
    ) -> Any:
        """Send the call to one server; a repeatable one once more to another.

        Without a connection nothing was sent, so even a call that may not be repeated can go to the
        next server then; after the first byte its outcome is unknown.
        """
        context = self._context
        method = bottle.request.method
        query = bottle.request.query_string
        passed = {key: value for key, value in headers.items() if key not in HOP_HEADERS}
        passed["X-Request-Id"] = request_id
        has_body = bottle.request.content_length > 0 or bottle.request.chunked
        if bottle.request.content_length > 0:
            passed["Content-Length"] = str(bottle.request.content_length)
        body = _pieces(bottle.request.environ["wsgi.input"]) if has_body else None
        left = [address for address in addresses if context.leaving.takes_new_work(address)]
        reason = "no server of the service takes new work"
        while left:
            address = context.server_choice.pick(left)
            if address is None:
                break
            url = f"{address}/{path}" + (f"?{query}" if query else "")
            result = self._http.open(method, url, body, passed, fresh=not repeatable)
            match result:
                case Head():
                    return self._passed_on(result, address, request_id)
                case Lost(sent=True) if not repeatable or has_body:
                    context.server_choice.ended(address)
                    return Unknown(result.reason)
                case Lost():
                    context.server_choice.ended(address)
                    context.leaving.check_failed(address)
                    reason = result.reason
                    left.remove(address)
        return NotRun(reason, 1_000)

    def _passed_on(self, head: Head, address: str, request_id: str) -> Head:
        told = {
            name: value
            for name, value in head.response.headers.items()
            if name.lower() not in HOP_HEADERS
        }
        told["X-Request-Id"] = request_id
        length = head.response.headers.get("Content-Length")
        if length is not None:
            told["Content-Length"] = length
        body = self._body(head, address) if bottle.request.method != "HEAD" else b""
        if bottle.request.method == "HEAD":
            self._done(address)
            head.response.close()
        return Head(head.status, bottle.HTTPResponse(body, head.status, told))

    def _body(self, head: Head, address: str) -> Iterator[bytes]:
        try:
            yield from head.response.stream(READ_PIECE, decode_content=False)
            head.response.release_conn()
        except (HTTPError, OSError) as error:
            raise BodyCut("the server's answer was cut") from error
        finally:
            head.response.close()
            self._done(address)

    def _done(self, address: str) -> None:
        self._context.server_choice.ended(address)
        self._context.service_calls -= 1


def _pieces(stream: Any) -> Iterator[bytes]:
    while piece := stream.read(READ_PIECE):
        yield piece
