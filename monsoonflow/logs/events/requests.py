"""Events of callers' requests."""

from __future__ import annotations

from .event import Event, event


@event
class RequestAccepted(Event):
    """A caller's request was read completely and matched a route."""

    # ``resumes`` is the attempt of its caller that began the stream that it takes up again.

    request: str
    route: str
    service: str
    adapter: str | None
    config: int
    priority: int
    deadline_ms: int | None
    left_ms: int
    tried_before_ms: int = 0
    fingerprint: str | None = None
    customer: str | None = None
    forwarded: bool | None = None
    resumes: str | None = None
    parts: str | None = None


@event
class RequestForwarded(Event):
    """A request was forwarded to a peer, since this node reaches no server of its service."""

    request: str
    peer: str
    service: str
    result: str
    cause: str | None
    left_ms: int


@event
class RequestUnauthorized(Event):
    """A request carried no valid API key; ``is_final``: the caller was told not to retry."""

    # ``config_age_ms`` is the time since the store last confirmed the configuration.

    request: str
    route: str
    cause: str
    config: int
    config_age_ms: int | None
    is_final: bool


@event
class RequestOverQuota(Event):
    """A request was refused since its customer has used up its quota."""

    # ``left`` are the units left for all nodes as far as this node knows, ``share`` is the part of
    # them that it may use, and ``usage_age_ms`` is the time in which peers learn of its use.

    request: str
    route: str
    customer: str
    cost: int
    left: int
    share: float
    rate_per_s: int
    burst: int
    usage_age_ms: int
    retry_after_ms: int


@event
class RequestTooLarge(Event):
    """A request was refused for good, since no runner can hold its prompt and one token."""

    # ``prompt``, ``hint`` and ``capacity`` (of one runner, by the configuration) are in tokens.
    # ``config_age_ms`` is the time since the store last confirmed the configuration.

    request: str
    prompt: int
    hint: int | None
    capacity: int
    config: int
    config_age_ms: int | None


@event
class RunnersFull(Event):
    """Runners were left out for a request, since they have no room for it in their KV cache."""

    # ``need`` is the prompt and the hinted output times ``margin``, at most the request's maximum.
    # ``least_used`` is the cache in use at the least used of the runners left out, and
    # ``reports_age_ms`` the age of the oldest report that it is from. ``has_other``: another runner
    # has room; otherwise the request waits for room or is refused.

    request: str
    need: int
    prompt: int
    hint: int | None
    margin: float
    capacity: int
    least_used: int | None
    runners: str
    has_other: bool
    reports_age_ms: int | None


@event
class SlotsFull(Event):
    """The lease holder left runners out for a slot request, since they had no room for it."""

    # ``left_out`` is how often a runner was left out, ``result`` what the node was answered.
    # ``reports_age_ms`` is the age of the oldest report that the decision is from.

    cell: str
    adapter: str
    need: int
    capacity: int
    left_out: int
    waited_ms: int
    result: str
    reports_age_ms: int | None


@event
class UnusableSlotNeed(Event):
    """A slot request states a need that is no integer of at least 0; it counts as unknown."""

    cell: str
    adapter: str
    value: str


@event
class RequestSent(Event):
    """A request is sent to a server."""

    # For a model runner, ``version`` is the adapter version that it is assumed to hold and
    # ``expect_version`` the version without which it must refuse the request. ``unread_tokens`` are
    # the prompt tokens that it has to prefill before this request's own, and ``expected_ms`` is the
    # estimated time until the first event. ``servers_age_ms`` is the age of the last update of the
    # servers from the store. ``software_version`` is that of the server. ``memory_tokens`` is the
    # KV cache that the request counts with.

    request: str
    server: str
    attempt: int
    why: str
    left_ms: int
    rank: int | None = None
    version: int | None = None
    expect_version: int | None = None
    unread_tokens: int | None = None
    expected_ms: int | None = None
    after_event: str | None = None
    servers_age_ms: int | None = None
    software_version: str | None = None
    memory_tokens: int | None = None


@event
class ServerRefused(Event):
    """A server refused a request without running it."""

    # ``moved``: it is another server, or lacks what the request needs. ``connection`` is the
    # number of the connection on which it said so.

    request: str
    server: str
    cause: str
    moved: bool
    retry_after_ms: int | None = None
    took_ms: int | None = None
    connection: int | None = None


@event
class ServerAtLimit(Event):
    """A request is not sent to the chosen server, since that takes no further one now."""

    # ``left`` are the requests left for all nodes as far as this node knows. Without ``per_s`` the
    # server rests for another ``rest_ms`` (0: it has rested and takes few requests yet), or is
    # brittle and has no room.

    request: str
    server: str
    per_s: float | None
    left: float
    rest_ms: int | None = None


@event
class TryFailed(Event):
    """An attempt to send a request to a server failed; ``again``: it will be retried."""

    # ``retries_known`` are the retries of the service in the current window that this node knows
    # of, ``retries_limit`` is its estimate of the retry budget. ``answering_ms`` is for how long
    # the server had been sending events; ``None`` if it had not begun.

    request: str
    server: str
    cause: str
    may_have_run: bool
    again: bool
    took_ms: int
    retries_known: int | None = None
    retries_limit: int | None = None
    answering_ms: int | None = None


@event
class RequestWaited(Event):
    """A request waited for a slot for its adapter; ``holder`` is the cell's lease holder."""

    request: str
    adapter: str
    holder: str | None
    result: str
    waited_ms: int


@event
class SlotRefused(Event):
    """The lease holder of a cell refused a slot request."""

    # ``cause`` is "forecast" if the wait would be too long, "deadline" if the request has waited
    # for as long as it could, "prefill" if the queues of all runners are too long. ``level`` is how
    # far the customer is above its share, ``late`` whether the first event would be late, ``ahead``
    # the number of adapters that are loaded before, ``idle`` the free and idle slots, ``per_s`` the
    # slots assigned per second to such requests, ``in_use`` the mean number of the customer's
    # requests at runners, and ``usage_age_ms`` the age of the last report of usage.

    request: str | None
    cell: str
    adapter: str
    cause: str
    customer: str | None
    priority: int
    level: int
    late: bool
    waited_ms: int
    tried_ms: int
    retry_after_ms: int
    ahead: int | None
    idle: int | None
    per_s: float | None
    in_use: float
    usage_age_ms: int | None


@event
class SlotDrains(Event):
    """A slot takes no more requests of customers of its level, since others wait for a slot."""

    # ``level`` is the lowest of the customers that use the slot, ``for_level`` and ``for_customer``
    # are those of the waiting request.

    cell: str
    server: str
    adapter: str
    level: int
    for_level: int
    for_customer: str | None
    usage_age_ms: int | None


@event
class RequestUnfinished(Event):
    """A request is not answered when the process ends; ``state`` is what it does at that moment."""

    request: str
    route: str
    adapter: str | None
    state: str
    took_ms: int
    left_ms: int
    tried: str | None


@event
class RequestEnded(Event):
    """A request ended at this node; ``tried`` lists the servers that it was sent to."""

    # ``limits_per_s`` is what the servers of the service take together, if all were at their limits
    # when the request was refused. ``forwarded``: a peer received it from the caller and logs the
    # same request. ``framing`` is how the last server marks the end of its answer, ``rest_bytes``
    # what it sent after the last complete event.

    request: str
    outcome: str
    route: str
    adapter: str | None
    status: int | None
    bytes: int
    first_ms: int | None
    took_ms: int
    left_ms: int
    tried: str | None = None
    cause: str | None = None
    limits_per_s: float | None = None
    forwarded: bool | None = None
    framing: str | None = None
    rest_bytes: int | None = None
