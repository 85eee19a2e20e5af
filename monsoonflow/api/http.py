"""Reads requests and builds answers with the bottle library."""

from __future__ import annotations

import hmac
from typing import Any

import attrs
import bottle
import orjson

from ..configuration.models import Customer
from ..core.outcome import NotRun, Outcome
from ..node.context import NodeContext
from ..node.relay import HEADER_CUSTOMER, HEADER_NODE_TOKEN, HEADER_REQUEST
from ..request.parse import BadRequest
from ..transport.models import BadMessage
from .const import MAX_HEADER_BYTES
from .errors import error_body, outcome_body, outcome_status, retry_headers

READ_PIECE = 65_536


def answer(status: int, data: Any, headers: dict[str, str] | None = None) -> bottle.HTTPResponse:
    """Return a JSON answer."""
    return bottle.HTTPResponse(
        orjson.dumps(data), status, {"Content-Type": "application/json", **(headers or {})}
    )


def refuse(
    status: int, reason: str, request_id: str | None = None, retry_after_ms: int | None = None
) -> bottle.HTTPResponse:
    """Return an answer that says that nothing of the request ran."""
    body = error_body(reason, "not_run", request_id, retry_after_ms)
    return answer(status, body, retry_headers(retry_after_ms))


def json_refusal(error: BadMessage) -> tuple[bytes, bytes]:
    """Return content type and body of the answer to a message that the transport refuses."""
    return b"application/json", orjson.dumps(error_body(error.reason, "not_run"))


def bad(problem: BadRequest) -> bottle.HTTPResponse:
    """Return the answer to a request that is wrong."""
    return refuse(problem.status, problem.reason)


def lower_headers() -> dict[str, str] | BadRequest:
    """Return the request's headers by lower-case name."""
    headers = {name.lower(): value for name, value in bottle.request.headers.items()}
    size = sum(len(name) + len(value or "") for name, value in headers.items())
    if size > MAX_HEADER_BYTES:
        return BadRequest("the headers are too large", 431)
    return {name: value or "" for name, value in headers.items()}


def read_body(limit: int) -> bytes | BadRequest:
    """Read the request's body, up to a limit; a larger one is refused without being kept."""
    if bottle.request.content_length > limit:
        return BadRequest(f"the body is larger than {limit} bytes", 413)
    stream = bottle.request.environ["wsgi.input"]
    pieces: list[bytes] = []
    size = 0
    try:
        while piece := stream.read(READ_PIECE):
            size += len(piece)
            if size > limit:
                return BadRequest(f"the body is larger than {limit} bytes", 413)
            pieces.append(piece)
    except OSError:
        return BadRequest("the body did not arrive", 408)
    expected = bottle.request.content_length
    if 0 <= expected != size:
        return BadRequest("the body ended early", 400)
    return b"".join(pieces)


def bearer(headers: dict[str, str]) -> str:
    """Return the bearer token, empty when there is none."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def same_secret(given: str, expected: str) -> bool:
    """Compare secrets in a time that tells nothing about them."""
    return hmac.compare_digest(given.encode(), expected.encode())


def from_node(context: NodeContext, headers: dict[str, str]) -> bool:
    """Tell whether another node sent a request."""
    return same_secret(headers.get(HEADER_NODE_TOKEN.lower(), ""), context.settings["node-token"])


def customer_of(context: NodeContext, headers: dict[str, str]) -> Customer | bottle.HTTPResponse:
    """Return the customer that a request is from, or the answer that refuses it."""
    if from_node(context, headers):
        name = headers.get(HEADER_CUSTOMER.lower(), "")
        customer = context.config.customer_by_name.get(name)
        return customer or refuse(403, "unknown customer")
    token = bearer(headers)
    if not token:
        return answer(
            401,
            error_body("a bearer key is needed", "not_run"),
            {"WWW-Authenticate": "Bearer"},
        )
    customer = context.config.customer_of_key(token)
    return customer or refuse(403, "the key is not known")


@attrs.frozen(slots=True)
class Caller:
    """Who sent a request, with its headers by lower-case name."""

    customer: Customer
    headers: dict[str, str]


def identify(context: NodeContext) -> Caller | bottle.HTTPResponse:
    """Return who sends the current request, or the answer that refuses it."""
    headers = lower_headers()
    if isinstance(headers, BadRequest):
        return bad(headers)
    customer = customer_of(context, headers)
    if isinstance(customer, bottle.HTTPResponse):
        return customer
    return Caller(customer, headers)


def ended_badly(outcome: Outcome, request_id: str) -> bottle.HTTPResponse:
    """Return the answer to a request that did not end well."""
    retry_after_ms = outcome.retry_after_ms if isinstance(outcome, NotRun) else None
    return answer(
        outcome_status(outcome),
        outcome_body(outcome, request_id),
        {HEADER_REQUEST: request_id, **retry_headers(retry_after_ms)},
    )
