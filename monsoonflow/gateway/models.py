"""Data of a request that is being handled, and the possible results of its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

import attrs

from ..core.server_life import ServerLife
from ..helpers.keys import bounded_key
from ..routing.customers import Identity
from ..routing.server_limits import InvalidLimit, NamedLimit
from ..transport.models import AnswerHead, Framing, Header, Request


@attrs.frozen(slots=True)
class Call:
    """The parameters that a caller gives with its request.

    :param request_id: identifies the request; a caller that retries uses another one.
    :param deadline_ms: how long the caller waits, from the arrival of its request.
    :param model: the base model.
    :param adapter: the adapter on top of the base model.
    :param prompt_tokens: length of the prompt.
    :param max_output_tokens: the most tokens that may be generated.
    :param length_hint: the caller's estimate of the number of generated tokens.
    :param session: identifies the last shared part of the prompt.
    :param prompt_parts: identify the parts of the prompt before the last one, in order.
    :param last_event_id: the event after which a stream is resumed.
    :param resumed_request_id: the caller's attempt that brought the stream's first event.
    :param api_key: identifies the customer; must not be logged.
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
    api_key: str | None = attrs.field(default=None, repr=False)
    resumed_request_id: str | None = None
    prompt_parts: tuple[str, ...] = ()

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has events of a stream and asks for those after them."""
        return bool(self.last_event_id)

    @property
    def stream_id(self) -> str:
        """Return the caller's attempt that brought, or will bring, the stream's first event."""
        if self.resumes_stream and self.resumed_request_id is not None:
            return self.resumed_request_id
        return bounded_key(self.request_id)


@dataclass(frozen=True, slots=True)
class Malformed:
    """A request that can't be parsed."""

    reason: str


@attrs.frozen(slots=True)
class ForwardedRequest:
    """The parameters that this node gives a server with a request.

    :param remaining_ms: how long the server may work.
    :param life: the server that is meant; any other server refuses the request.
    :param rank: the rank of the request in a runner's queue, 0 first; ``None`` at servers of plain
        services.
    :param expect_version: the adapter version that must answer.
    :param last_event_id: the event after which a stream is resumed.
    :param identity: whose request it is; ``None`` in a configuration without customers.
    """

    remaining_ms: int
    life: ServerLife
    rank: int | None = None
    expect_version: int | None = None
    last_event_id: bytes | None = None
    identity: Identity | None = None


@attrs.frozen(slots=True)
class Handover:
    """What a peer is told with a request that is forwarded to it.

    :param elapsed_ms: since the request arrived at the first node.
    :param possible_runs: attempts of the first node that may have run on a server.
    :param software_version: of the servers that may go on with a stream; ``None`` for any.
    """

    elapsed_ms: int
    possible_runs: int
    software_version: str | None = None


@attrs.frozen(slots=True)
class AnswerTerms:
    """What the head of an answer says about the answer.

    :param request_id: the request that it answers.
    :param is_signed: whether it carries the server's signature.
    :param not_run: whether the server states that the request was not run.
    :param retry_after_ms: the delay before a retry that the server asks for.
    :param limit: the limit for requests of all nodes that the server names; ``None`` if none.
    :param is_full: whether the server states that it has no room for the request.
    :param tolerated_rejections_per_s: rejections for want of room that the server withstands in a
        second; ``None`` unless it is brittle.
    :param framing: how the end of its body is marked.
    :param software_version: of the server that generates a stream, in a peer's answer; ``None`` if
        the peer does not say.
    :param is_leaving: whether the server states that it is shutting down.
    :param rest_ms: for how long the server asks this node for no requests; 0 if it does not.
    """

    request_id: str | None
    is_signed: bool
    not_run: bool
    retry_after_ms: int | None = None
    limit: NamedLimit | InvalidLimit | None = None
    is_full: bool = False
    tolerated_rejections_per_s: float | None = None
    framing: Framing = Framing.LENGTH
    software_version: str | None = None
    is_leaving: bool = False
    rest_ms: int = 0


class Dialect(Protocol):
    """Translates between headers on the wire and this package's models."""

    def read_call(self, request: Request) -> Call | Malformed:
        """Return the parameters that a caller gives with its request."""

    def forwarded_head(self, request: Request, forwarded: ForwardedRequest) -> bytes:
        """Return the encoded head of the request that is sent to a server."""

    def peer_head(self, request: Request, handover: Handover, last_event_id: bytes | None) -> bytes:
        """Return the encoded head of a request that is forwarded to a peer."""

    def read_handover(self, request: Request) -> Handover | None:
        """Return what a peer says of a request that it forwards; ``None`` for any other request."""

    def stream_version_headers(self, software_version: str) -> list[Header]:
        """Return the headers that tell a peer the software version that began a stream."""

    def not_run_headers(self) -> list[Header]:
        """Return the headers that tell a peer that its request has not run at this node."""

    def read_answer(self, head: AnswerHead) -> AnswerTerms:
        """Return what the head of an answer says about the answer."""

    def forwarded_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers of a server's answer that are forwarded to the caller."""

    def own_answer_headers(self, call: Call | None, retry_after_ms: int | None) -> list[Header]:
        """Return the headers of an answer that this node generates itself."""


@dataclass(frozen=True, slots=True)
class Whole:
    """The server's complete answer, not yet forwarded to the caller."""

    head: AnswerHead
    terms: AnswerTerms
    body: bytes


@dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing was sent to the server.

    :param connection_refused: its port refused the connection.
    """

    reason: str
    connection_refused: bool = False


@dataclass(frozen=True, slots=True)
class AtLimit:
    """Nothing was sent, since the server takes no further request now.

    :param rate_per_s: the limit that the server names; ``None`` if it rests, or is brittle and has
        no room.
    :param left: requests that are left for all nodes, as far as this node knows.
    :param rest_ms: how much longer the server rests, 0 if it has rested and takes few requests yet;
        ``None`` if that is not the reason.
    """

    rate_per_s: float | None
    left: float
    rest_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, since the request may not reach any server any more."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The server stated that it did not run the request.

    :param misrouted: it is another server than expected, or lacks the adapter version that the
        request needs.
    :param connection: number of the connection on which it said so.
    """

    reason: str
    retry_after_ms: int | None = None
    misrouted: bool = False
    connection: int | None = None


@dataclass(frozen=True, slots=True)
class Unclear:
    """The request was sent, and may or may not have run.

    :param silent: the server sent nothing at all.
    """

    reason: str
    silent: bool = False


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The request's time was over before the server had answered.

    :param silent: the server sent nothing at all.
    """

    silent: bool = False


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left, which counts against the server only if it had sent nothing for long.

    :param silent: the server sent nothing at all.
    """

    silent: bool = False


@dataclass(frozen=True, slots=True)
class Recalled:
    """The request was cancelled while it waited at the server for an outdated adapter version."""


@dataclass(frozen=True, slots=True)
class Passed:
    """The complete answer was forwarded to the caller while it arrived."""


@dataclass(frozen=True, slots=True)
class EndUnknown:
    """All that the server sent was forwarded, but the caller can't be told whether it was all."""


@dataclass(frozen=True, slots=True)
class Cut:
    """The answer broke off after parts of it had been forwarded to the caller.

    :param silent: the server sent nothing at all in this attempt.
    """

    reason: str
    silent: bool = False


AttemptResult: TypeAlias = (
    Whole
    | Unsent
    | AtLimit
    | Withheld
    | Rejected
    | Unclear
    | TimedOut
    | Abandoned
    | Recalled
    | Passed
    | EndUnknown
    | Cut
)


@attrs.frozen(slots=True)
class QueueAhead:
    """The queue in front of a request at a model runner.

    :param pending_prefill_tokens: prompt tokens that the runner processes before the request's own.
    :param expected_ms: expected time until the request's first event.
    :param cell: the service of the runner.
    """

    pending_prefill_tokens: int
    expected_ms: int
    cell: str = ""


@attrs.frozen(slots=True)
class Chosen:
    """The server that a request is sent to.

    :param version: the adapter version that the server is known to hold.
    :param prefill_tokens: prompt tokens that the request adds to the server's pending prefill.
    :param memory_tokens: KV cache that the request may need.
    :param expect_version: the version without which the server must refuse the request.
    :param why: why the server was chosen, for the log.
    :param queue: the queue in front of the request; ``None`` at servers of plain services.
    :param software_version: of the server; ``None`` if unknown.
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
    software_version: str | None = None


@dataclass(frozen=True, slots=True)
class NoServer:
    """No server can handle the request in time.

    :param retry_after_ms: the delay before the caller should retry.
    """

    reason: str
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """The software version of the servers that began a stream."""

    software_version: str


@dataclass(frozen=True, slots=True)
class AnyVersion:
    """No server states a version, or there has been none: any server will do."""


@dataclass(frozen=True, slots=True)
class UnknownVersion:
    """It is not known which software version began a stream."""

    reason: str


StreamVersion: TypeAlias = KnownVersion | AnyVersion | UnknownVersion
