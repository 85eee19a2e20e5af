"""The requests that a node handles at the moment."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import gevent

from ..transport.reply import Reply
from .job import Job


@attrs.define(eq=False, slots=True)
class ActiveRequest:
    """A request that is being handled.

    :param handler: the task that handles it.
    """

    job: Job
    reply: Reply
    handler: gevent.Greenlet

    def state(self) -> str:
        """Return what the request does, for the log."""
        if self.reply.started:
            return "answering"
        return "at a server" if self.job.is_at_server else "waiting"


class ActiveRequests:
    """The requests that a node handles at the moment."""

    def __init__(self) -> None:
        self._active: dict[ActiveRequest, None] = {}

    def begin(self, job: Job, reply: Reply) -> ActiveRequest:
        """Record that the current task handles a request."""
        active = ActiveRequest(job, reply, gevent.getcurrent())
        self._active[active] = None
        return active

    def end(self, active: ActiveRequest) -> None:
        """Record that a request has ended."""
        del self._active[active]

    def __contains__(self, active: object) -> bool:
        return active in self._active

    def __iter__(self) -> Iterator[ActiveRequest]:
        return iter(list(self._active))
