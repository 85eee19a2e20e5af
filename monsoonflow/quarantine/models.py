"""What is known of requests under which servers have ended."""

from __future__ import annotations

from enum import Enum, auto

import attrs

from ..core.server_life import ServerLife


@attrs.frozen(slots=True)
class ServerCrash:
    """A server ended while it had a request.

    :param fingerprint: of the request.
    """

    fingerprint: str
    life: ServerLife


@attrs.frozen(slots=True)
class QuarantinedRequest:
    """A request that is sent to no server any more.

    :param lives: the servers that ended under it.
    :param source: who found that out.
    """

    fingerprint: str
    lives: tuple[ServerLife, ...]
    source: str


class Turn(Enum):
    """Whether a request may be sent now.

    ``HELD``: it is suspected, and its turn is to be ended.
    """

    NOT_NEEDED = auto()
    ACQUIRED = auto()
    TIMED_OUT = auto()
