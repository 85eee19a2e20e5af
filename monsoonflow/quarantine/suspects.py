"""Decides which requests are to blame when servers end, by what they have in common.

A server that ends takes with it all that it has in progress: one culprit and many that ran beside
it. What was on three servers as each of them ended, and was never answered by any, is the culprit.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Final

import attrs

from ..core.server_life import ServerLife
from .models import Ending, Quarantined

ENDINGS_TO_PROVE: Final = 3
"""So many servers must have ended under a request: a bystander is rarely on three in a row."""

ENDINGS_TO_RUN_APART: Final = 2
"""From so many on a request runs apart from others that are suspected as much: retried side by
side, they would be on the next server together as well, and all look to blame."""

DOUBT_MS: Final = 5_000
"""How long it is remembered that a request was on a server whose connection broke: by then it is
known whether that server has ended."""

SUSPECTED_MS: Final = 600_000
"""How long a request is suspected after the last server that ended under it."""

QUARANTINED_MS: Final = 3_600_000
"""After so long a request is given another chance: what it asked for may have been mended."""

LIFTED_MS: Final = 60_000
"""So long after its quarantine was lifted the word of a node that has not heard of that, or of what
was seen before, counts for nothing."""

MOST_SUSPECTED: Final = 4_096
MOST_QUARANTINED: Final = 1_024
MOST_LIVES: Final = 256


@attrs.define(slots=True)
class _Suspect:
    at_ms: int
    lives: list[ServerLife] = attrs.Factory(list)


@attrs.define(slots=True)
class _Held:
    at_ms: int
    quarantined: Quarantined


class Suspects:
    """The requests that servers may have ended under, on all nodes.

    >>> suspects = Suspects("n1")
    >>> for life in map(ServerLife, ("i-1", "i-2", "i-3")):
    ...     _ = suspects.broke("f", life, 0)
    ...     found = suspects.server_ended(life, 5)
    >>> [one.fingerprint for one in found], suspects.is_quarantined("f")
    (['f'], True)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._broken_by_life: OrderedDict[ServerLife, dict[str, int]] = OrderedDict()
        self._ended_ms_by_life: OrderedDict[ServerLife, int] = OrderedDict()
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._lifted_ms_by_fingerprint: OrderedDict[str, int] = OrderedDict()
        self._held_by_fingerprint: OrderedDict[str, _Held] = OrderedDict()
        self._own: OrderedDict[Ending, int] = OrderedDict()

    def broke(self, fingerprint: str, life: ServerLife, now_ms: int) -> list[Quarantined]:
        """Take that a server's connection broke while it had a request.

        :return: what is quarantined by that, where the server is known to have ended.
        """
        known = self._broken_by_life.get(life, {})
        # A server that loses answers for days would otherwise be remembered with all of them.
        broken = {name: at_ms for name, at_ms in known.items() if now_ms - at_ms <= DOUBT_MS}
        broken[fingerprint] = now_ms
        self._broken_by_life[life] = broken
        _trim(self._broken_by_life, MOST_LIVES)
        ended_ms = self._ended_ms_by_life.get(life)
        just_ended = ended_ms is not None and now_ms - ended_ms <= DOUBT_MS
        return self._blame(life, now_ms) if just_ended else []

    def server_ended(self, life: ServerLife, now_ms: int) -> list[Quarantined]:
        """Take that a server has ended; return what is quarantined by that."""
        self._ended_ms_by_life[life] = now_ms
        _trim(self._ended_ms_by_life, MOST_LIVES)
        return self._blame(life, now_ms)

    def runs_apart(self, fingerprint: str) -> bool:
        """Tell whether a request must not run beside others that are suspected as much."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return suspect is not None and len(suspect.lives) >= ENDINGS_TO_RUN_APART

    def broken_at(self, life: ServerLife) -> list[str]:
        """Return the requests that were on a server as its connections broke."""
        return list(self._broken_by_life.get(life, ()))

    def _blame(self, life: ServerLife, now_ms: int) -> list[Quarantined]:
        found = []
        for fingerprint, at_ms in self._broken_by_life.pop(life, {}).items():
            if now_ms - at_ms > DOUBT_MS:
                continue
            ending = Ending(fingerprint, life)
            self._own[ending] = now_ms
            _trim(self._own, MOST_SUSPECTED)
            held = self.take(ending, now_ms, self._name)
            if held is not None:
                found.append(held)
        return found

    def take(self, ending: Ending, now_ms: int, source: str) -> Quarantined | None:
        """Take that a server ended under a request; return it if it is quarantined by that.

        :param source: the node that tells it.
        """
        fingerprint = ending.fingerprint
        if self._was_lifted(fingerprint, now_ms):
            return None
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or now_ms - suspect.at_ms > SUSPECTED_MS:
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect(now_ms)
        if ending.life in suspect.lives:
            return None
        suspect.lives.append(ending.life)
        suspect.at_ms = now_ms
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        _trim(self._suspect_by_fingerprint, MOST_SUSPECTED)
        if len(suspect.lives) < ENDINGS_TO_PROVE:
            return None
        held = Quarantined(fingerprint, tuple(suspect.lives), source)
        return held if self.hold(held, now_ms) else None

    def hold(self, quarantined: Quarantined, now_ms: int) -> bool:
        """Keep a request from all servers; return whether that is news."""
        fingerprint = quarantined.fingerprint
        if fingerprint in self._held_by_fingerprint or self._was_lifted(fingerprint, now_ms):
            return False
        self._held_by_fingerprint[fingerprint] = _Held(now_ms, quarantined)
        _trim(self._held_by_fingerprint, MOST_QUARANTINED)
        return True

    def lift(self, fingerprint: str, now_ms: int) -> bool:
        """Let a request reach servers again; return whether it was quarantined."""
        self._suspect_by_fingerprint.pop(fingerprint, None)
        for ending in [ending for ending in self._own if ending.fingerprint == fingerprint]:
            del self._own[ending]
        self._lifted_ms_by_fingerprint[fingerprint] = now_ms
        self._lifted_ms_by_fingerprint.move_to_end(fingerprint)
        _trim(self._lifted_ms_by_fingerprint, MOST_SUSPECTED)
        return self._held_by_fingerprint.pop(fingerprint, None) is not None

    def completed(self, fingerprint: str, now_ms: int) -> bool:
        """Take that a server has answered a request whole: it is not to blame.

        :return: whether it was quarantined.
        """
        if fingerprint in self._suspect_by_fingerprint or fingerprint in self._held_by_fingerprint:
            return self.lift(fingerprint, now_ms)
        return False

    def _was_lifted(self, fingerprint: str, now_ms: int) -> bool:
        lifted_ms = self._lifted_ms_by_fingerprint.get(fingerprint)
        return lifted_ms is not None and now_ms - lifted_ms <= LIFTED_MS

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""
        return fingerprint in self._held_by_fingerprint

    def expired(self, now_ms: int) -> list[str]:
        """Lift what has been quarantined for long enough, and return it."""
        ended = [
            fingerprint
            for fingerprint, held in self._held_by_fingerprint.items()
            if now_ms - held.at_ms > QUARANTINED_MS
        ]
        for fingerprint in ended:
            self.lift(fingerprint, now_ms)
        return ended

    def has_seen(self, fingerprint: str) -> bool:
        """Tell whether this node has seen a server end under a request."""
        return any(ending.fingerprint == fingerprint for ending in self._own)

    def own_endings(self, now_ms: int, within_ms: int, most: int) -> tuple[Ending, ...]:
        """Return the newest of what this node has lately seen itself."""
        newest_first = islice(reversed(self._own.items()), most)
        recent = [ending for ending, at_ms in newest_first if now_ms - at_ms <= within_ms]
        return tuple(reversed(recent))

    def quarantined(self, most: int | None = None) -> list[Quarantined]:
        """Return the quarantined requests, the newest last."""
        held = [held.quarantined for held in self._held_by_fingerprint.values()]
        return held if most is None else held[-most:]


def _trim(table: OrderedDict, most: int) -> None:
    while len(table) > most:
        table.popitem(last=False)
