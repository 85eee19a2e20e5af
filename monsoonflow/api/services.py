"""Passes calls to plain services on, answers as they come."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterator
from itertools import chain
from typing import Any, Final

import bottle

from ..backend.plain_http import Onward, OpenAnswer, PlainClient
from ..core.outcome import NotRun, Outcome, Unknown, tag
from ..helpers.ids import new_id
from ..helpers.logfmt import pairs
from ..node.context import NodeContext
from ..node.relay import HEADER_NODE_TOKEN
from ..request.parse import BadRequest, Terms, parse_terms
from ..routing.idempotency_keys import KeyConflict, KeysFull, KnownKey
from ..transport.const import HOP_BY_HOP_HEADERS
from ..transport.models import BrokenAnswer, Lost
from ..transport.wsgi import ENDS_WITH_CONNECTION, RAW_HEADERS, RAW_TARGET, AnswerCut
from .http import bad, ended_badly, identify, refuse

_LOGGER = logging.getLogger(__name__)
NOT_PASSED_ON: Final = HOP_BY_HOP_HEADERS | {
    b"authorization",
    b"host",
    b"x-request-id",
    HEADER_NODE_TOKEN.lower().encode(),
}
"""A caller's key and the nodes' token are for this node; the request id is this node's own."""

SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
METHODS: Final = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]


class ServiceApi:
    """Registers the plain services' route."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._client = PlainClient(context.clock, context.settings["silence-ms"])

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
        onward = _onward(name, request_id)
        if onward is None:
            return refuse(404, "unknown service")
        refused = self._admit_key(caller.customer.name, terms, request_id, f"{name}/{path}")
        if refused is not None:
            return ended_badly(refused, request_id)
        method = bottle.request.method
        repeatable = terms.repeatable and method in SAFE_METHODS
        context.service_calls += 1
        result = self._try_servers(entry.addresses, onward, repeatable)
        self._release_key(caller.customer.name, terms, ran=not isinstance(result, NotRun))
        if isinstance(result, bottle.HTTPResponse):
            return result
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
            case KeyConflict():
                return NotRun("the key was used for another call", status=422)
            case KeysFull():
                return NotRun("too many keys are kept", 10_000)
            case _:
                return None

    def _release_key(self, customer: str, terms: Terms, ran: bool) -> None:
        if terms.key is not None:
            key = f"service\x00{terms.key}"
            self._context.keys.record_end(customer, key, self._context.now_ms(), ran)

    def _try_servers(
        self, addresses: tuple[str, ...], call: Onward, repeatable: bool
    ) -> bottle.HTTPResponse | Outcome:
        """Send the call to one server; a repeatable one once more to another.

        Without a connection nothing was sent, so even a call that may not be repeated can go to the
        next server then; after the first byte its outcome is unknown.
        """
        context = self._context
        left = [address for address in addresses if context.leaving.takes_new_work(address)]
        reason = "no server of the service takes new work"
        while left:
            address = context.server_choice.pick(left)
            if address is None:
                break
            result = self._client.open(address, call, fresh=not repeatable)
            match result:
                case OpenAnswer():
                    return self._passed_on(result, address, call)
                case Lost(sent=True) if not repeatable or call.body:
                    context.server_choice.record_end(address)
                    return Unknown(result.reason)
                case Lost():
                    context.server_choice.record_end(address)
                    context.leaving.record_failed_check(address)
                    reason = result.reason
                    left.remove(address)
        return NotRun(reason, 1_000)

    def _passed_on(
        self, answer: OpenAnswer, address: str, call: Onward
    ) -> bottle.HTTPResponse | Outcome:
        head = answer.head
        pieces = answer.pieces()
        try:
            first = next(pieces, b"")
        except (BrokenAnswer, OSError) as error:
            answer.close()
            self._context.server_choice.record_end(address)
            return Unknown(type(error).__name__)
        body = self._body(answer, address, chain((first,), pieces))
        if call.method == b"HEAD":
            # Nothing follows the head; a body that is never begun would never be counted out.
            body = b"".join(body)
        response = bottle.HTTPResponse(body, head.status)
        for name, value in head.headers:
            if name.lower() not in HOP_BY_HOP_HEADERS:
                response.add_header(name.decode("latin-1"), value.decode("latin-1"))
        length = head.value(b"content-length")
        if head.ends_with_connection:
            # The end of the connection may be that of the server: chunks would claim that it isn't.
            bottle.request.environ[ENDS_WITH_CONNECTION] = True
        elif length is not None and not head.chunked:
            response.set_header("Content-Length", length.decode("latin-1"))
        response.set_header("X-Request-Id", call.request_id)
        return response

    def _body(self, answer: OpenAnswer, address: str, pieces: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from pieces
        except (BrokenAnswer, OSError) as error:
            raise AnswerCut("the server's answer was cut") from error
        finally:
            answer.close()
            self._context.server_choice.record_end(address)
            self._context.service_calls -= 1


def _onward(name: str, request_id: str) -> Onward | None:
    """Return the current call as it goes on; ``None`` where its target only decodes to the service.

    What is not the service's own name, byte for byte, could lead a server elsewhere than the path
    that was checked here.
    """
    environ = bottle.request.environ
    target: bytes = environ[RAW_TARGET]
    prefix = f"/services/{name}".encode()
    rest = target[len(prefix) :]
    if not target.startswith(prefix) or rest[:1] not in (b"/", b"?", b""):
        return None
    return Onward(
        method=bottle.request.method.encode(),
        target=rest if rest.startswith(b"/") else b"/" + rest,
        headers=[
            header for header in environ[RAW_HEADERS] if header[0].lower() not in NOT_PASSED_ON
        ],
        body=environ["wsgi.input"].read(),
        request_id=request_id,
    )
