"""Translates the headers of requests and answers."""

from __future__ import annotations

from typing import Final

from ..gateway.models import AnswerTerms, Call, ForwardedRequest, Malformed
from ..transport.const import ONE_CONNECTION_ONLY
from ..transport.models import AnswerHead, Header, Request

REQUEST_ID: Final = b"x-request-id"
DEADLINE: Final = b"x-deadline-ms"
MODEL: Final = b"x-model"
TOKENS: Final = b"x-token-count"
PREFIX: Final = b"x-prompt-prefix"
LENGTH_HINT: Final = b"x-length-hint"
LAST_EVENT: Final = b"last-event-id"
SIGNATURE: Final = b"x-server-signature"
NOT_RUN: Final = b"x-not-executed"

SET_HERE_ONLY: Final = frozenset(
    {
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-pin-ms",
        b"x-hold",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
        DEADLINE,
        LAST_EVENT,
    }
)
"""What a caller says of these is dropped: they are orders to a server, or set anew at each send."""

NEEDED: Final = frozenset({b"host", REQUEST_ID, MODEL, TOKENS, PREFIX, LENGTH_HINT})
"""A caller can't have these dropped by naming them in its ``Connection`` header."""

SINGLE: Final = (REQUEST_ID, DEADLINE, MODEL, TOKENS, PREFIX, LAST_EVENT)


class HeaderDialect:
    """The headers of the platform's callers and backend servers."""

    def read_call(self, request: Request) -> Call | Malformed:
        """Return what a caller says of its request."""
        values: dict[bytes, bytes] = {}
        for name, value in request.headers:
            key = name.lower()
            if key in values and key in SINGLE:
                return Malformed(f"{key.decode()} is given twice")
            values[key] = value
        if not values.get(REQUEST_ID):
            return Malformed("a request id is needed")
        try:
            return self._call(request, values)
        except ValueError as error:
            return Malformed(f"malformed header: {error}")

    def _call(self, request: Request, values: dict[bytes, bytes]) -> Call:
        model, _, adapter = values.get(MODEL, b"").decode("ascii").partition("/")
        prompt, _, output = values.get(TOKENS, b"0,0").decode("ascii").partition(",")
        deadline = values.get(DEADLINE)
        hint = values.get(LENGTH_HINT)
        last_part = values.get(PREFIX, b"").rpartition(b",")[2].partition(b":")[0]
        return Call(
            request_id=values[REQUEST_ID].decode("latin-1"),
            host=values[b"host"].decode("latin-1"),
            path=request.target.partition(b"?")[0].decode("latin-1"),
            deadline_ms=None if deadline is None else max(0, int(float(deadline))),
            model=model or None,
            adapter=f"{model}/{adapter}" if adapter else None,
            prompt_tokens=int(prompt or 0),
            max_output_tokens=int(output or 0),
            length_hint=int(float(hint)) if hint else None,
            session=last_part.decode("latin-1").strip() or None,
            last_event_id=values.get(LAST_EVENT),
        )

    def forwarded_head(self, request: Request, forwarded: ForwardedRequest) -> bytes:
        """Return the head of the request to a server: the caller's, less what is not for it."""
        dropped = self._dropped(request.headers)
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines += [
            b"%s: %s" % (name, value)
            for name, value in request.headers
            if name.lower() not in dropped
        ]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(request.body))
        lines.append(b"X-Deadline-Ms: %d" % forwarded.remaining_ms)
        lines.append(b"X-Expect-Instance: %s" % forwarded.life.server_id.encode("latin-1"))
        if forwarded.rank is not None:
            lines.append(b"X-Request-Priority: %d" % forwarded.rank)
        if forwarded.expect_version is not None:
            lines.append(b"X-Expect-Version: %d" % forwarded.expect_version)
        if forwarded.last_event_id is not None:
            lines.append(b"Last-Event-Id: " + forwarded.last_event_id)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_answer(self, head: AnswerHead) -> AnswerTerms:
        """Return what a server says of its answer."""
        request_id = head.value(REQUEST_ID)
        return AnswerTerms(
            request_id=None if request_id is None else request_id.decode("latin-1"),
            is_signed=bool(head.value(SIGNATURE)),
            not_run=head.value(NOT_RUN) is not None or head.status == 421,
            retry_after_ms=_retry_after_ms(head.value(b"retry-after")),
        )

    def forwarded_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of an answer that go on to the caller."""
        dropped = self._dropped(head.headers)
        return [(name, value) for name, value in head.headers if name.lower() not in dropped]

    def own_answer_headers(self, call: Call | None, retry_after_ms: int | None) -> list[Header]:
        """Return the headers of an answer of this node's own."""
        headers: list[Header] = []
        if call is not None:
            headers.append((b"X-Request-Id", call.request_id.encode("latin-1")))
        if retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)))
        return headers

    @staticmethod
    def _dropped(headers: list[Header]) -> frozenset[bytes]:
        named = {
            token.strip().lower()
            for name, value in headers
            if name.lower() == b"connection"
            for token in value.split(b",")
        }
        return ONE_CONNECTION_ONLY | SET_HERE_ONLY | (named - NEEDED)


def _retry_after_ms(value: bytes | None) -> int | None:
    try:
        return None if value is None else max(0, round(float(value) * 1000))
    except (ValueError, OverflowError):
        return None
