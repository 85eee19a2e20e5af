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
from .models import QuarantinedRequest, ServerCrash

CRASHES_TO_QUARANTINE: Final = 3
"""So many servers must have ended under a request: a bystander is rarely on three in a row."""

CRASHES_TO_RUN_ALONE: Final = 2
"""From so many on a request runs apart from others that are suspected as much: retried side by
side, they would be on the next server together as well, and all look to blame."""

BROKEN_CONNECTION_TTL_MS: Final = 5_000
"""How long it is remembered that a request was on a server whose connection broke: by then it is
known whether that server has ended."""

SUSPICION_TTL_MS: Final = 600_000
"""How long a request is suspected after the last server that ended under it."""

QUARANTINE_TTL_MS: Final = 3_600_000
"""After so long a request is given another chance: what it asked for may have been mended."""

IGNORE_AFTER_LIFT_MS: Final = 60_000
"""So long after its quarantine was lifted the word of a node that has not heard of that, or of what
was seen before, counts for nothing."""

MAX_SUSPECTS: Final = 4_096
MAX_QUARANTINED: Final = 1_024
MAX_SERVERS: Final = 256


@attrs.define(slots=True)
class _Suspect:
    last_crash_ms: int
    lives: list[ServerLife] = attrs.Factory(list)


@attrs.define(slots=True)
class _QuarantineEntry:
    quarantined_ms: int
    request: QuarantinedRequest


class Suspects:
    """The requests that servers may have ended under, on all nodes.

    >>> suspects = Suspects("n1")
    >>> for life in map(ServerLife, ("i-1", "i-2", "i-3")):
    ...     _ = suspects.record_broken_connection("f", life, 0)
    ...     found = suspects.record_server_crash(life, 5)
    >>> [one.fingerprint for one in found], suspects.is_quarantined("f")
    (['f'], True)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._broken_connections_by_life: OrderedDict[ServerLife, dict[str, int]] = OrderedDict()
        self._crashed_ms_by_life: OrderedDict[ServerLife, int] = OrderedDict()
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._lifted_ms_by_fingerprint: OrderedDict[str, int] = OrderedDict()
        self._entry_by_fingerprint: OrderedDict[str, _QuarantineEntry] = OrderedDict()
        self._own_crash_ms: OrderedDict[ServerCrash, int] = OrderedDict()

    def record_broken_connection(
        self, fingerprint: str, life: ServerLife, now_ms: int
    ) -> list[QuarantinedRequest]:
        """Take that a server's connection broke while it had a request.

        :return: what is quarantined by that, where the server is known to have ended.
        """
        known = self._broken_connections_by_life.get(life, {})
        # A server that loses answers for days would otherwise be remembered with all of them.
        broken = {
            name: at_ms
            for name, at_ms in known.items()
            if now_ms - at_ms <= BROKEN_CONNECTION_TTL_MS
        }
        broken[fingerprint] = now_ms
        self._broken_connections_by_life[life] = broken
        _trim(self._broken_connections_by_life, MAX_SERVERS)
        ended_ms = self._crashed_ms_by_life.get(life)
        just_ended = ended_ms is not None and now_ms - ended_ms <= BROKEN_CONNECTION_TTL_MS
        return self._record_crash_of_requests(life, now_ms) if just_ended else []

    def record_server_crash(self, life: ServerLife, now_ms: int) -> list[QuarantinedRequest]:
        """Take that a server has ended; return what is quarantined by that."""
        self._crashed_ms_by_life[life] = now_ms
        _trim(self._crashed_ms_by_life, MAX_SERVERS)
        return self._record_crash_of_requests(life, now_ms)

    def must_run_alone(self, fingerprint: str) -> bool:
        """Tell whether a request must not run beside others that are suspected as much."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return suspect is not None and len(suspect.lives) >= CRASHES_TO_RUN_ALONE

    def broken_requests_at(self, life: ServerLife) -> list[str]:
        """Return the requests that were on a server as its connections broke."""
        return list(self._broken_connections_by_life.get(life, ()))

    def _record_crash_of_requests(self, life: ServerLife, now_ms: int) -> list[QuarantinedRequest]:
        found = []
        for fingerprint, at_ms in self._broken_connections_by_life.pop(life, {}).items():
            if now_ms - at_ms > BROKEN_CONNECTION_TTL_MS:
                continue
            ending = ServerCrash(fingerprint, life)
            self._own_crash_ms[ending] = now_ms
            _trim(self._own_crash_ms, MAX_SUSPECTS)
            held = self.record_crash(ending, now_ms, self._name)
            if held is not None:
                found.append(held)
        return found

    def record_crash(
        self, crash: ServerCrash, now_ms: int, source: str
    ) -> QuarantinedRequest | None:
        """Take that a server ended under a request; return it if it is quarantined by that.

        :param source: the node that tells it.
        """
        fingerprint = crash.fingerprint
        if self._was_recently_lifted(fingerprint, now_ms):
            return None
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or now_ms - suspect.last_crash_ms > SUSPICION_TTL_MS:
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect(now_ms)
        if crash.life in suspect.lives:
            return None
        suspect.lives.append(crash.life)
        suspect.last_crash_ms = now_ms
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        _trim(self._suspect_by_fingerprint, MAX_SUSPECTS)
        if len(suspect.lives) < CRASHES_TO_QUARANTINE:
            return None
        held = QuarantinedRequest(fingerprint, tuple(suspect.lives), source)
        return held if self.quarantine(held, now_ms) else None

    def quarantine(self, request: QuarantinedRequest, now_ms: int) -> bool:
        """Keep a request from all servers; return whether that is news."""
        fingerprint = request.fingerprint
        if fingerprint in self._entry_by_fingerprint or self._was_recently_lifted(
            fingerprint, now_ms
        ):
            return False
        self._entry_by_fingerprint[fingerprint] = _QuarantineEntry(now_ms, request)
        _trim(self._entry_by_fingerprint, MAX_QUARANTINED)
        return True

    def lift(self, fingerprint: str, now_ms: int) -> bool:
        """Let a request reach servers again; return whether it was quarantined."""
        self._suspect_by_fingerprint.pop(fingerprint, None)
        for ending in [
            ending for ending in self._own_crash_ms if ending.fingerprint == fingerprint
        ]:
            del self._own_crash_ms[ending]
        self._lifted_ms_by_fingerprint[fingerprint] = now_ms
        self._lifted_ms_by_fingerprint.move_to_end(fingerprint)
        _trim(self._lifted_ms_by_fingerprint, MAX_SUSPECTS)
        return self._entry_by_fingerprint.pop(fingerprint, None) is not None

    def record_completed(self, fingerprint: str, now_ms: int) -> bool:
        """Take that a server has answered a request whole: it is not to blame.

        :return: whether it was quarantined.
        """
        if fingerprint in self._suspect_by_fingerprint or fingerprint in self._entry_by_fingerprint:
            return self.lift(fingerprint, now_ms)
        return False

    def _was_recently_lifted(self, fingerprint: str, now_ms: int) -> bool:
        lifted_ms = self._lifted_ms_by_fingerprint.get(fingerprint)
        return lifted_ms is not None and now_ms - lifted_ms <= IGNORE_AFTER_LIFT_MS

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether a request must reach no server."""
        return fingerprint in self._entry_by_fingerprint

    def lift_expired(self, now_ms: int) -> list[str]:
        """Lift what has been quarantined for long enough, and return it."""
        ended = [
            fingerprint
            for fingerprint, held in self._entry_by_fingerprint.items()
            if now_ms - held.quarantined_ms > QUARANTINE_TTL_MS
        ]
        for fingerprint in ended:
            self.lift(fingerprint, now_ms)
        return ended

    def has_seen_crash(self, fingerprint: str) -> bool:
        """Tell whether this node has seen a server end under a request."""
        return any(ending.fingerprint == fingerprint for ending in self._own_crash_ms)

    def own_crashes(self, now_ms: int, max_age_ms: int, max_count: int) -> tuple[ServerCrash, ...]:
        """Return the newest of what this node has lately seen itself."""
        newest_first = islice(reversed(self._own_crash_ms.items()), max_count)
        recent = [ending for ending, at_ms in newest_first if now_ms - at_ms <= max_age_ms]
        return tuple(reversed(recent))

    def quarantined(self, max_count: int | None = None) -> list[QuarantinedRequest]:
        """Return the quarantined requests, the newest last."""
        held = [held.request for held in self._entry_by_fingerprint.values()]
        return held if max_count is None else held[-max_count:]


def _trim(table: OrderedDict, max_size: int) -> None:
    while len(table) > max_size:
        table.popitem(last=False)
