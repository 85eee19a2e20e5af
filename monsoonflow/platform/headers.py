"""Translates the platform's headers of requests and answers."""

from __future__ import annotations

import re
from typing import Final
from urllib.parse import quote, unquote

from ..gateway.models import AnswerTerms, Call, ForwardedRequest, Handover, Malformed
from ..helpers.keys import bounded_key
from ..routing.server_limits import InvalidLimit, NamedLimit
from ..transport.const import HOP_BY_HOP_HEADERS
from ..transport.models import AnswerHead, Header, HeaderLines, Request

REQUEST_ID_HEADER: Final = b"x-request-id"
DEADLINE_HEADER: Final = b"x-deadline-ms"
MODEL_HEADER: Final = b"x-model"
TOKEN_COUNT_HEADER: Final = b"x-token-count"
PROMPT_PREFIX_HEADER: Final = b"x-prompt-prefix"
LENGTH_HINT_HEADER: Final = b"x-length-hint"
LAST_EVENT_ID_HEADER: Final = b"last-event-id"
SIGNATURE_HEADER: Final = b"x-server-signature"
NOT_EXECUTED_HEADER: Final = b"x-not-executed"
SERVER_LIMIT_HEADER: Final = b"server-limit"
SERVER_BRITTLE_HEADER: Final = b"server-brittle"
SERVER_LEAVING_HEADER: Final = b"server-leaving"
AUTHORIZATION_HEADER: Final = b"authorization"
HANDOVER_HEADER: Final = b"x-monsoonflow-forwarded"
SOFTWARE_VERSION_HEADER: Final = b"x-monsoonflow-software-version"
RESUMES_HEADER: Final = b"resumes"
HANDOVER_PATTERN: Final = re.compile(rb"([0-9]{1,9}),([0-9]{1,9})")
CUSTOMER_HEADER: Final = b"x-tenant"
KEY_SCHEME: Final = b"Bearer "
MAX_TOKEN_DIGITS: Final = 9
SERVER_LIMIT_PATTERN: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_LOGGED_VALUE_BYTES: Final = 40
MAX_PROMPT_PARTS: Final = 64
PART_ID_PATTERN: Final = re.compile(r"[0-9a-z_-]{1,40}")
"""Ids of parts are hexadecimal; they become keys of rows, so other characters are not accepted."""


NODE_SET_HEADERS: Final = frozenset(
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
        DEADLINE_HEADER,
        LAST_EVENT_ID_HEADER,
        HANDOVER_HEADER,
        SOFTWARE_VERSION_HEADER,
    }
)
"""Dropped from callers' requests: they are orders to a server, or are set for each attempt."""

IDENTITY_HEADERS: Final = frozenset({AUTHORIZATION_HEADER, CUSTOMER_HEADER})
"""Dropped in addition in a configuration with customers: servers must not receive keys, and the
customer's name is set by the node."""

REQUIRED_HEADERS: Final = frozenset(
    {
        b"host",
        REQUEST_ID_HEADER,
        MODEL_HEADER,
        TOKEN_COUNT_HEADER,
        PROMPT_PREFIX_HEADER,
        LENGTH_HINT_HEADER,
        RESUMES_HEADER,
    }
)
"""Forwarded even if a caller lists them in its ``Connection`` header."""

SINGLE_VALUE_HEADERS: Final = (
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
    MODEL_HEADER,
    TOKEN_COUNT_HEADER,
    PROMPT_PREFIX_HEADER,
    LAST_EVENT_ID_HEADER,
    RESUMES_HEADER,
)


class HeaderDialect:
    """Reads and writes the headers of the platform's callers and backend servers."""

    def read_call(self, request: Request) -> Call | Malformed:
        """Return the call that a request's headers describe, or why they are malformed."""
        value_by_name: dict[bytes, bytes] = {}
        for name, value in request.headers:
            key = name.lower()
            if key in value_by_name and key in SINGLE_VALUE_HEADERS:
                return Malformed(f"duplicate header: {key.decode()}")
            is_second_key = key == AUTHORIZATION_HEADER and key in value_by_name
            value_by_name[key] = b"" if is_second_key else value
        if not value_by_name.get(REQUEST_ID_HEADER):
            return Malformed("missing header: x-request-id")
        try:
            return self._decode_call(request, value_by_name)
        except (ValueError, OverflowError) as error:
            return Malformed(f"malformed header: {error}")

    def _decode_call(self, request: Request, value_by_name: dict[bytes, bytes]) -> Call:
        model, _, adapter = value_by_name.get(MODEL_HEADER, b"").decode("ascii").partition("/")
        prompt_tokens, _, max_output_tokens = value_by_name.get(TOKEN_COUNT_HEADER, b"").partition(
            b","
        )
        deadline_ms = value_by_name.get(DEADLINE_HEADER)
        length_hint = value_by_name.get(LENGTH_HINT_HEADER)
        earlier_parts, _, last_part = value_by_name.get(PROMPT_PREFIX_HEADER, b"").rpartition(b",")
        return Call(
            request_id=value_by_name[REQUEST_ID_HEADER].decode("latin-1"),
            host=value_by_name[b"host"].decode("latin-1"),
            path=request.target.partition(b"?")[0].decode("latin-1"),
            deadline_ms=None if deadline_ms is None else max(0, int(float(deadline_ms))),
            model=bounded_key(model) or None,
            adapter=bounded_key(f"{model}/{adapter}") if adapter else None,
            prompt_tokens=_parse_token_count(prompt_tokens),
            max_output_tokens=_parse_token_count(max_output_tokens),
            length_hint=_parse_length_hint(length_hint),
            session=bounded_key(_decode_part_id(last_part)) or None,
            last_event_id=value_by_name.get(LAST_EVENT_ID_HEADER),
            resumed_request_id=_decode_resumed_id(value_by_name.get(RESUMES_HEADER, b"")),
            api_key=_parse_api_key(value_by_name.get(AUTHORIZATION_HEADER, b"")),
            prompt_parts=_decode_part_ids(earlier_parts),
        )

    def forwarded_head(self, request: Request, forwarded: ForwardedRequest) -> bytes:
        """Return the head of the request to a server.

        It holds the caller's headers, except those that must not be forwarded, and this node's.
        """
        dropped_names = self._dropped_names(request.headers)
        identity = forwarded.identity
        if identity is not None:
            dropped_names |= IDENTITY_HEADERS
        lines = _request_lines(request, dropped_names)
        lines.append(b"X-Deadline-Ms: %d" % forwarded.remaining_ms)
        lines.append(b"X-Expect-Instance: %s" % forwarded.life.server_id.encode("latin-1"))
        if identity is not None and identity.customer is not None:
            lines.append(b"X-Tenant: " + identity.customer.name.encode("latin-1"))
        if forwarded.rank is not None:
            lines.append(b"X-Request-Priority: %d" % forwarded.rank)
        if forwarded.expect_version is not None:
            lines.append(b"X-Expect-Version: %d" % forwarded.expect_version)
        if forwarded.last_event_id is not None:
            lines.append(b"Last-Event-Id: " + forwarded.last_event_id)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def peer_head(self, request: Request, handover: Handover, last_event_id: bytes | None) -> bytes:
        """Return the head of a request that is forwarded to a peer.

        It holds the caller's headers, also those that only nodes may read.
        """
        dropped_names = HOP_BY_HOP_HEADERS | {
            HANDOVER_HEADER,
            LAST_EVENT_ID_HEADER,
            SOFTWARE_VERSION_HEADER,
        }
        dropped_names |= _names_listed_in_connection(request.headers) - REQUIRED_HEADERS
        lines = _request_lines(request, dropped_names)
        if last_event_id is not None:
            lines.append(b"Last-Event-Id: " + last_event_id)
        lines.append(
            b"X-Monsoonflow-Forwarded: %d,%d" % (handover.elapsed_ms, handover.possible_runs)
        )
        if handover.software_version is not None:
            lines += [
                b"%s: %s" % header
                for header in self.stream_version_headers(handover.software_version)
            ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def read_handover(self, request: Request) -> Handover | None:
        """Return what a peer says of a request that it forwards; ``None`` for any other request."""
        found = HANDOVER_PATTERN.fullmatch(request.value(HANDOVER_HEADER) or b"")
        if found is None:
            return None
        version = _decode_software_version(request.value(SOFTWARE_VERSION_HEADER))
        return Handover(int(found[1]), int(found[2]), version)

    def stream_version_headers(self, software_version: str) -> list[Header]:
        """Return the headers that tell a peer the software version that began a stream.

        Any text may be a version, so it is percent-encoded.
        """
        value = quote(software_version, safe="").encode("ascii")
        return [(b"X-Monsoonflow-Software-Version", value)]

    def not_run_headers(self) -> list[Header]:
        """Return the headers that tell a peer that its request has not run at this node."""
        return [(b"X-Not-Executed", b"1")]

    def read_answer(self, head: AnswerHead) -> AnswerTerms:
        """Return what an answer's headers say about it."""
        request_id = head.value(REQUEST_ID_HEADER)
        retry_after_ms = _parse_retry_after_ms(head.values(b"retry-after"))
        return AnswerTerms(
            request_id=None if request_id is None else request_id.decode("latin-1"),
            is_signed=bool(head.value(SIGNATURE_HEADER)),
            not_run=head.value(NOT_EXECUTED_HEADER) is not None or head.status == 421,
            retry_after_ms=retry_after_ms,
            limit=_parse_server_limit(head.values(SERVER_LIMIT_HEADER)),
            is_full=head.status in (429, 503) and head.value(NOT_EXECUTED_HEADER) is not None,
            tolerated_rejections_per_s=_parse_brittle(head.values(SERVER_BRITTLE_HEADER)),
            framing=head.framing,
            software_version=_decode_software_version(head.value(SOFTWARE_VERSION_HEADER)),
            is_leaving=says_leaving(head),
            rest_ms=(retry_after_ms or 0) if head.status == 503 else 0,
        )

    def forwarded_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of an answer that are forwarded to the caller."""
        dropped_names = self._dropped_names(head.headers)
        return [(name, value) for name, value in head.headers if name.lower() not in dropped_names]

    def own_answer_headers(self, call: Call | None, retry_after_ms: int | None) -> list[Header]:
        """Return the headers of an answer that this node itself gives."""
        headers: list[Header] = []
        if call is not None:
            headers.append((b"X-Request-Id", call.request_id.encode("latin-1")))
        if retry_after_ms is not None:
            headers.append((b"Retry-After", b"%.3f" % (retry_after_ms / 1000)))
        return headers

    @staticmethod
    def _dropped_names(headers: HeaderLines) -> frozenset[bytes]:
        listed_names = _names_listed_in_connection(headers)
        return HOP_BY_HOP_HEADERS | NODE_SET_HEADERS | (listed_names - REQUIRED_HEADERS)


def _request_lines(request: Request, dropped_names: frozenset[bytes]) -> list[bytes]:
    """Return request line, headers without the dropped ones, and the body's length."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [
        b"%s: %s" % (name, value)
        for name, value in request.headers
        if name.lower() not in dropped_names
    ]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return lines


def _names_listed_in_connection(headers: HeaderLines) -> frozenset[bytes]:
    """Return the headers that concern one connection only, as the ``Connection`` header says."""
    return frozenset(
        token.strip().lower()
        for value in headers.values(b"connection")
        for token in value.split(b",")
    )


def _parse_token_count(value: bytes) -> int:
    """Return a number of tokens; 0 if it is not stated.

    :raises ValueError: if it is not a plain decimal number.
    """
    digits = value.strip()
    if not digits:
        return 0
    if not digits.isdigit() or len(digits) > MAX_TOKEN_DIGITS:
        raise ValueError("x-token-count")
    return int(digits)


def _parse_length_hint(value: bytes | None) -> int | None:
    """Return a caller's estimate of the output tokens; ``None`` if it is not a finite number.

    It is only an estimate, so a request is not refused for it.

    >>> [_parse_length_hint(value) for value in (b"57", b"5.9e1", b"-3", b"1e999", b"nan", b"x")]
    [57, 59, -3, None, None, None]
    """
    try:
        return int(float(value or b""))
    except (ValueError, OverflowError):
        return None


def _decode_part_id(part: bytes) -> str:
    return part.partition(b":")[0].decode("latin-1").strip()


def _decode_resumed_id(value: bytes) -> str | None:
    return bounded_key(value.decode("latin-1")) or None


def _decode_part_ids(parts: bytes) -> tuple[str, ...]:
    """Return the different ids in a list of parts of a prompt.

    >>> _decode_part_ids(b"5c1e07a2:800, 91BD3F06:410,5c1e07a2:5,:1,a+b:3," + b"f" * 41)
    ('5c1e07a2', '91bd3f06')
    >>> len(_decode_part_ids(b",".join(b"%x:1" % number for number in range(500))))
    64
    """
    pieces = parts.split(b",", MAX_PROMPT_PARTS)[:MAX_PROMPT_PARTS]
    ids = (_decode_part_id(piece).lower() for piece in pieces)
    return tuple(dict.fromkeys(id_ for id_ in ids if PART_ID_PATTERN.fullmatch(id_)))


def _parse_api_key(value: bytes) -> str | None:
    """Return the key that a header carries; ``None`` if it carries none in the expected form."""
    if not value.startswith(KEY_SCHEME) or not value.isascii():
        return None
    return value.removeprefix(KEY_SCHEME).decode("ascii")


def _decode_software_version(value: bytes | None) -> str | None:
    r"""Return the software version in a peer's header.

    >>> _decode_software_version(b"v1%0A%C3%A9"), _decode_software_version(b"")
    ('v1\né', None)
    """
    if not value:
        return None
    return unquote(value.decode("latin-1"))


def says_leaving(head: AnswerHead) -> bool:
    """Return whether a server states in an answer that it is shutting down."""
    # After 421, it may be another server that answers at the address.
    return head.status != 421 and b"1" in _list_items(head.values(SERVER_LEAVING_HEADER))


def _list_items(values: list[bytes]) -> list[bytes]:
    """Return the items of a header that may come several times, each with several items."""
    return [item.strip() for value in values for item in value.split(b",")]


def _parse_retry_after_ms(values: list[bytes]) -> int | None:
    """Return the longest of the delays that can be read; ``None`` without one.

    >>> _parse_retry_after_ms([b"0.25"]), _parse_retry_after_ms([b"1, 3", b"2"])
    (250, 3000)
    >>> [_parse_retry_after_ms([value]) for value in (b"", b"x", b"nan", b"inf", b"1e999", b"-3")]
    [None, None, None, None, None, 0]
    """
    delays_ms = (_parse_delay_ms(item) for item in _list_items(values))
    return max((delay_ms for delay_ms in delays_ms if delay_ms is not None), default=None)


def _parse_delay_ms(value: bytes) -> int | None:
    try:
        return max(0, round(float(value) * 1000))
    except (ValueError, OverflowError):
        return None


def _parse_brittle(values: list[bytes]) -> float | None:
    """Return how many rejections a second a server withstands; ``None`` if it does not say.

    A value that can't be read still says that the server is brittle.

    >>> _parse_brittle([b"3"]), _parse_brittle([b"x"]), _parse_brittle([])
    (3.0, 0.0, None)
    """
    if not values:
        return None
    value = values[0].strip()
    return float(value) if SERVER_LIMIT_PATTERN.fullmatch(value) else 0.0


def _parse_server_limit(values: list[bytes]) -> NamedLimit | InvalidLimit | None:
    """Return the limit that a server names, from all headers with it.

    >>> _parse_server_limit([b"1.3"]), _parse_server_limit([])
    (NamedLimit(rate_per_s=1.3), None)
    >>> _parse_server_limit([b"1e9"]), _parse_server_limit([b"1", b"2"])
    (InvalidLimit(text='1e9'), InvalidLimit(text='1, 2'))
    """
    if not values:
        return None
    value = b", ".join(values).strip()
    if SERVER_LIMIT_PATTERN.fullmatch(value) is None:
        return InvalidLimit(value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"))
    return NamedLimit(float(value))
