"""Data of a request on its way, and tagged outcomes of its tries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..transport.models import AnswerHead, Header, Request


@attrs.frozen(slots=True)
class Call:
    """What a caller says of its request.

    :param request_id: of this try of the caller.
    :param deadline_ms: how long the caller waits, from its request's arrival.
    :param model: the base model; ``adapter`` the adapter beside it.
    :param prompt_tokens: to be read; ``output_tokens`` the most that are made.
    :param length_hint: the caller's guess of the tokens made.
    :param session: the last shared part of the prompt.
    :param last_event: where a stream goes on.
    """

    request_id: str
    host: str
    path: str
    deadline_ms: int | None = None
    model: str | None = None
    adapter: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    length_hint: int | None = None
    session: str | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class Malformed:
    """A request whose words can't be understood."""

    reason: str


@attrs.frozen(slots=True)
class ForwardedRequest:
    """What this node says of a request to a server.

    :param left_ms: how long the server may work.
    :param life: the life of the server that is meant; another refuses.
    :param expect_version: the adapter's version that must answer.
    :param last_event: where a stream goes on.
    """

    remaining_ms: int
    life: ServerLife
    rank: int | None = None
    expect_version: int | None = None
    last_event_id: bytes | None = None


@attrs.frozen(slots=True)
class AnswerTerms:
    """What a server says of its answer.

    :param request_id: the request that it answers.
    :param stamped: whether it carries the server's signature.
    :param not_run: whether the server says that nothing ran.
    """

    request_id: str | None
    is_signed: bool
    not_run: bool
    retry_after_ms: int | None = None


class Dialect(Protocol):
    """Translates between the wire and the product's words."""

    def read_call(self, request: Request) -> Call | Malformed:
        """Return what a caller says of its request."""

    def forwarded_head(self, request: Request, forwarded: ForwardedRequest) -> bytes:
        """Return the head of the request to a server."""

    def read_answer(self, head: AnswerHead) -> AnswerTerms:
        """Return what a server says of its answer."""

    def forwarded_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of an answer that go on to the caller."""

    def own_answer_headers(self, call: Call | None, retry_after_ms: int | None) -> list[Header]:
        """Return the headers of an answer of this node's own."""


@dataclass(frozen=True, slots=True)
class Whole:
    """A server's whole answer."""

    head: AnswerHead
    terms: AnswerTerms
    body: bytes


@dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing reached the server.

    :param refused: its port refused the connection.
    """

    reason: str
    connection_refused: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The server says that it did not run the request.

    :param moved: it is another server, or does not hold what the request needs.
    """

    reason: str
    retry_after_ms: int | None = None
    misrouted: bool = False


@dataclass(frozen=True, slots=True)
class Unclear:
    """The request was sent, and may or may not have run.

    :param silent: the server gave no sign at all.
    """

    reason: str
    silent: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The time that the request had is over while the server was at work.

    :param silent: the server gave no sign at all.
    """

    silent: bool = False


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left; that says something of the server only when it never gave a sign.

    :param silent: the server gave no sign at all.
    """

    silent: bool = False


@dataclass(frozen=True, slots=True)
class Recalled:
    """The request was taken back while it waited at the server, for an old version."""


@dataclass(frozen=True, slots=True)
class Passed:
    """The whole answer has been passed on while it came in."""


@dataclass(frozen=True, slots=True)
class Cut:
    """An answer broke off after parts of it had been passed on."""

    reason: str
    silent: bool = False


AttemptResult: TypeAlias = (
    Whole | Unsent | Rejected | Unclear | TimedOut | Abandoned | Recalled | Passed | Cut
)


@attrs.frozen(slots=True)
class QueueAhead:
    """What a request waits for at a model runner.

    :param unread_tokens: prompt tokens that are read before its own.
    :param expect_ms: time until its first event.
    """

    pending_prefill_tokens: int
    expected_ms: int


@attrs.frozen(slots=True)
class Chosen:
    """The server that a request is sent to.

    :param version: of the adapter that the server is known to hold.
    :param expect_version: the version without which the server shall refuse.
    :param unread_tokens: that the request itself adds to what is to be read there.
    :param queue: what is before it there; ``None`` at servers of plain services.
    """

    life: ServerLife
    address: str
    adapter: str | None = None
    version: int | None = None
    prefill_tokens: int = 0
    memory_tokens: int = 0
    expect_version: int | None = None
    why: str = ""
    queue: QueueAhead | None = None


@dataclass(frozen=True, slots=True)
class NoServer:
    """No server can take the request within its time.

    :param retry_after_ms: when to come back.
    """

    reason: str
    retry_after_ms: int
