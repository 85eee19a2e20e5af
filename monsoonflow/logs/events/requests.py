"""What becomes of callers' requests."""

from __future__ import annotations

from .event import Event, event


@event
class RequestAccepted(Event):
    """A caller's request was read whole and has a route."""

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


@event
class RequestSent(Event):
    """A request goes to a server."""

    # At a model runner ``version`` is the adapter's that it is believed to hold, ``expect_version``
    # the one without which it shall refuse; ``unread_tokens`` are to be read there before the
    # request's own, and ``expected_ms`` is the time until its first event. ``servers_age_ms`` is
    # how long ago the store last told this node of servers.

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


@event
class ServerRefused(Event):
    """A server said that it did not run a request."""

    request: str
    server: str
    cause: str
    moved: bool
    retry_after_ms: int | None = None


@event
class TryFailed(Event):
    """A try of a request did not end well."""

    # ``retries_known`` are the service's further arrivals that this node knows of in the window,
    # ``retries_limit`` what it takes the budget to be.

    request: str
    server: str
    cause: str
    may_have_run: bool
    again: bool
    took_ms: int
    retries_known: int | None = None
    retries_limit: int | None = None


@event
class RequestWaited(Event):
    """A request has waited for a place for its adapter."""

    request: str
    adapter: str
    holder: str | None
    result: str
    waited_ms: int


@event
class RequestEnded(Event):
    """A request's story here is over."""

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
