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
class RequestTraits:
    """What tells whether requests are the same or have something in common.

    :param fingerprint: identical for all requests with the same content.
    :param parts: the parts of its prompt that other requests may share.
    """

    fingerprint: str = ""
    parts: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class PartsCrash:
    """A server crashed with a request that it had hardly begun to answer.

    :param fingerprint: the fingerprint of the request.
    :param life: the server that crashed.
    :param known_lives_by_part: for each part of its prompt, the servers that were already known to
        have crashed with that part when the request was sent.
    """

    fingerprint: str
    life: ServerLife
    known_lives_by_part: dict[str, tuple[ServerLife, ...]]


@attrs.frozen(slots=True)
class SoundPart:
    """A request with a part was answered after some servers had crashed with that part.

    :param lives: these servers; their crashes have another cause.
    """

    part: str
    lives: tuple[ServerLife, ...]


@attrs.frozen(slots=True)
class QuarantinedRequest:
    """A request, or all requests with some parts of prompts, that must not be sent to any server.

    :param fingerprint: of the request, or the key of the parts.
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
