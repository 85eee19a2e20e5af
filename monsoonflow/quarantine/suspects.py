"""Decides which requests crash servers.

A server that crashes breaks off all requests that it has in progress: the one that caused the crash
and many innocent ones. A request that was on three servers when each of them crashed, and that no
server has ever answered, is taken to be the cause.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from itertools import islice
from typing import Final

import attrs

from ..core.server_life import ServerLife
from .bounded import trim
from .broken_connections import MAX_SERVERS, BrokenConnections
from .models import QuarantinedRequest, ServerCrash

CRASHES_TO_QUARANTINE: Final = 3
"""Crashes after which a request is quarantined: an innocent one is rarely in three in a row."""

CRASHES_TO_RUN_ALONE: Final = 2
"""Crashes after which a request is not retried together with others that have as many. They would
all be on the next server that crashes as well, and all of them would be quarantined."""

SUSPICION_TTL_MS: Final = 600_000
"""How long a request stays suspect after its last crash."""

QUARANTINE_TTL_MS: Final = 3_600_000
"""Time after which a request is allowed again, since the server may have been fixed."""

IGNORE_AFTER_LIFT_MS: Final = 60_000
"""How long crashes and quarantines of a request are ignored after its quarantine was lifted: peers
that don't know that yet still announce them."""

MAX_SUSPECTS: Final = 4_096
MAX_QUARANTINED: Final = 1_024


@attrs.define(slots=True)
class _Suspect:
    last_crash_ms: int
    lives: list[ServerLife] = attrs.Factory(list)


@attrs.define(slots=True)
class _QuarantineEntry:
    quarantined_ms: int
    request: QuarantinedRequest


class Suspects:
    """The suspect and quarantined requests of all nodes.

    >>> suspects = Suspects("n1")
    >>> for life in map(ServerLife, ("i-1", "i-2", "i-3")):
    ...     _ = suspects.record_broken_connection("f", life, 0)
    ...     found = suspects.record_server_crash(life, 5)
    >>> [request.fingerprint for request in found], suspects.is_quarantined("f")
    (['f'], True)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._broken_connections: BrokenConnections[None] = BrokenConnections()
        self._suspect_by_fingerprint: OrderedDict[str, _Suspect] = OrderedDict()
        self._lifted_ms_by_fingerprint: OrderedDict[str, int] = OrderedDict()
        self._entry_by_fingerprint: OrderedDict[str, _QuarantineEntry] = OrderedDict()
        self._excused_ms_by_life: OrderedDict[ServerLife, int] = OrderedDict()
        self._own_crash_ms: OrderedDict[ServerCrash, int] = OrderedDict()

    def record_broken_connection(
        self, fingerprint: str, life: ServerLife, now_ms: int
    ) -> list[QuarantinedRequest]:
        """Record that a server's connection broke while it had a request.

        :return: the requests that are quarantined by that, if the server has recently crashed.
        """
        requests = self._broken_connections.record_broken(life, fingerprint, None, now_ms)
        return self._record_crash_of_requests(requests, life, now_ms)

    def record_server_crash(self, life: ServerLife, now_ms: int) -> list[QuarantinedRequest]:
        """Record that a server has crashed; return the requests that are quarantined by that."""
        requests = self._broken_connections.record_crash(life, now_ms)
        return self._record_crash_of_requests(requests, life, now_ms)

    def must_run_alone(self, fingerprint: str) -> bool:
        """Return whether a request must not run at the same time as others with as many crashes."""
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        return suspect is not None and len(suspect.lives) >= CRASHES_TO_RUN_ALONE

    def broken_requests_at(self, life: ServerLife) -> list[str]:
        """Return the requests that a server had when its connections broke."""
        return self._broken_connections.fingerprints_at(life)

    def _record_crash_of_requests(
        self, fingerprints: Iterable[str], life: ServerLife, now_ms: int
    ) -> list[QuarantinedRequest]:
        quarantined = []
        for fingerprint in fingerprints:
            crash = ServerCrash(fingerprint, life)
            self._own_crash_ms[crash] = now_ms
            trim(self._own_crash_ms, MAX_SUSPECTS)
            request = self.record_crash(crash, now_ms, self._name)
            if request is not None:
                quarantined.append(request)
        return quarantined

    def record_crash(
        self, crash: ServerCrash, now_ms: int, source: str
    ) -> QuarantinedRequest | None:
        """Record that a server crashed with a request; return it if it is quarantined by that.

        :param source: the node that has seen the crash.
        """
        fingerprint = crash.fingerprint
        # Peers still announce crashes that a part of the prompts has been found to cause.
        if self._was_recently_lifted(fingerprint, now_ms) or crash.life in self._excused_ms_by_life:
            return None
        suspect = self._suspect_by_fingerprint.get(fingerprint)
        if suspect is None or now_ms - suspect.last_crash_ms > SUSPICION_TTL_MS:
            suspect = self._suspect_by_fingerprint[fingerprint] = _Suspect(now_ms)
        if crash.life in suspect.lives:
            return None
        suspect.lives.append(crash.life)
        suspect.last_crash_ms = now_ms
        self._suspect_by_fingerprint.move_to_end(fingerprint)
        trim(self._suspect_by_fingerprint, MAX_SUSPECTS)
        if len(suspect.lives) < CRASHES_TO_QUARANTINE:
            return None
        request = QuarantinedRequest(fingerprint, tuple(suspect.lives), source)
        return request if self.quarantine(request, now_ms) else None

    def quarantine(self, request: QuarantinedRequest, now_ms: int) -> bool:
        """Quarantine a request; return whether it was not quarantined before."""
        fingerprint = request.fingerprint
        if fingerprint in self._entry_by_fingerprint or self._was_recently_lifted(
            fingerprint, now_ms
        ):
            return False
        self._entry_by_fingerprint[fingerprint] = _QuarantineEntry(now_ms, request)
        trim(self._entry_by_fingerprint, MAX_QUARANTINED)
        return True

    def lift(self, fingerprint: str, now_ms: int) -> bool:
        """Allow a request again; return whether it was quarantined."""
        self._suspect_by_fingerprint.pop(fingerprint, None)
        for crash in [crash for crash in self._own_crash_ms if crash.fingerprint == fingerprint]:
            del self._own_crash_ms[crash]
        self._lifted_ms_by_fingerprint[fingerprint] = now_ms
        self._lifted_ms_by_fingerprint.move_to_end(fingerprint)
        trim(self._lifted_ms_by_fingerprint, MAX_SUSPECTS)
        return self._entry_by_fingerprint.pop(fingerprint, None) is not None

    def excuse(self, lives: Iterable[ServerLife], now_ms: int) -> list[str]:
        """Let crashes that have another cause count no more against requests.

        :return: the requests that are quarantined no longer.
        """
        lifted = []
        excused = frozenset(lives)
        self._excused_ms_by_life.update(dict.fromkeys(excused, now_ms))
        trim(self._excused_ms_by_life, MAX_SERVERS)
        for fingerprint, suspect in list(self._suspect_by_fingerprint.items()):
            left = [life for life in suspect.lives if life not in excused]
            if len(left) == len(suspect.lives):
                continue
            suspect.lives = left
            if len(left) < CRASHES_TO_QUARANTINE and self.is_quarantined(fingerprint):
                self.lift(fingerprint, now_ms)
                lifted.append(fingerprint)
        return lifted

    def record_completed(self, fingerprint: str, now_ms: int) -> bool:
        """Record that a server has answered a request completely, so that it is no suspect.

        :return: whether it was quarantined.
        """
        if fingerprint in self._suspect_by_fingerprint or fingerprint in self._entry_by_fingerprint:
            return self.lift(fingerprint, now_ms)
        return False

    def _was_recently_lifted(self, fingerprint: str, now_ms: int) -> bool:
        lifted_ms = self._lifted_ms_by_fingerprint.get(fingerprint)
        return lifted_ms is not None and now_ms - lifted_ms <= IGNORE_AFTER_LIFT_MS

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any server."""
        return fingerprint in self._entry_by_fingerprint

    def lift_expired(self, now_ms: int) -> list[str]:
        """Lift the quarantines that have expired; return the fingerprints of their requests."""
        expired = [
            fingerprint
            for fingerprint, entry in self._entry_by_fingerprint.items()
            if now_ms - entry.quarantined_ms > QUARANTINE_TTL_MS
        ]
        for fingerprint in expired:
            self.lift(fingerprint, now_ms)
        return expired

    def has_seen_crash(self, fingerprint: str) -> bool:
        """Return whether this node itself has seen a server crash with a request."""
        return any(crash.fingerprint == fingerprint for crash in self._own_crash_ms)

    def own_crashes(self, now_ms: int, max_age_ms: int, max_count: int) -> tuple[ServerCrash, ...]:
        """Return the newest crashes that this node itself has seen, the newest last."""
        newest_first = islice(reversed(self._own_crash_ms.items()), max_count)
        recent = [crash for crash, seen_ms in newest_first if now_ms - seen_ms <= max_age_ms]
        return tuple(reversed(recent))

    def quarantined(self, max_count: int | None = None) -> list[QuarantinedRequest]:
        """Return the quarantined requests, the newest last."""
        requests = [entry.request for entry in self._entry_by_fingerprint.values()]
        return requests if max_count is None else requests[-max_count:]
