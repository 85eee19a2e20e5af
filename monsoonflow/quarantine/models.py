"""Data about requests that have crashed servers."""

from __future__ import annotations

from enum import Enum, auto

import attrs

from ..core.server_life import ServerLife


@attrs.frozen(slots=True)
class ServerCrash:
    """A server crashed while it had a request.

    :param fingerprint: the fingerprint of the request.
    :param life: the server that crashed.
    """

    fingerprint: str
    life: ServerLife


@attrs.frozen(slots=True)
class QuarantinedRequest:
    """A request that must not be sent to any server.

    :param lives: the servers that crashed while they had it.
    :param source: the node that quarantined it first.
    """

    fingerprint: str
    lives: tuple[ServerLife, ...]
    source: str


class Turn(Enum):
    """Whether a request may be sent now; suspect requests are sent one at a time.

    ``NOT_NEEDED``: the request is no suspect. ``ACQUIRED``: it is a suspect that may be sent now,
    and its turn must be released when its attempt has ended. ``TIMED_OUT``: it must not be sent,
    since other suspects kept the turn for too long.
    """

    NOT_NEEDED = auto()
    ACQUIRED = auto()
    TIMED_OUT = auto()
