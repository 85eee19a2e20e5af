"""Decides which parts of prompts crash servers.

Requests that share such a part are no two alike, so their crashes add up only by part. A popular
part is at nearly every crash too. What tells them apart: requests with a sound part are answered
between the crashes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container, Iterable, Sequence
from typing import Final, TypeAlias

import attrs

from ..core.server_life import ServerLife
from .bounded import trim
from .models import PartsCrash, SoundPart

CRASHES_IN_A_ROW: Final = 3
"""Crashes one after the other, without an answer between them, after which a part is suspected."""

MIN_REQUESTS: Final = 2
"""Different requests that these crashes must have had. A single request is quarantined by itself,
and a bystander that is retried from server to server must not bring all its parts with it."""

MIN_UNEXPLAINED_CRASHES: Final = 2
"""Crashes that a wider part must explain beyond the narrower ones to be suspected beside them: a
single one may have another cause."""

EVIDENCE_TTL_MS: Final = 600_000
"""How long a crash counts against a part after the last crash with that part."""

MAX_PARTS: Final = 2_048
MAX_LIVES_PER_PART: Final = 16
MAX_REQUESTS_PER_LIFE: Final = 16
MAX_KNOWN_LIVES: Final = 4
"""Open crashes of a part that are noted with a request, the newest ones; three in a row decide."""

Culprit: TypeAlias = frozenset[str]
"""Parts that crash a server if a request holds all of them."""


@attrs.define(slots=True)
class _Crash:
    """A crash that counts against a part.

    :param known_ms: when this node learned of it.
    :param earlier_lives: the crashes that were known when a request with the part was sent there.
    """

    known_ms: int
    fingerprints: set[str] = attrs.Factory(set)
    earlier_lives: set[ServerLife] = attrs.Factory(set)


@attrs.define(slots=True)
class _Part:
    last_crash_ms: int
    open_crash_by_life: OrderedDict[ServerLife, _Crash] = attrs.Factory(OrderedDict)
    cleared_ms_by_life: OrderedDict[ServerLife, int] = attrs.Factory(OrderedDict)

    def crashes_in_a_row(self) -> int:
        """Return the length of the longest series of crashes, at most ``CRASHES_IN_A_ROW``.

        A crash goes on with a series if the crashes before it were known when its request was sent,
        so servers that are lost at one moment count as one.
        """
        length_by_life = dict.fromkeys(self.open_crash_by_life, 1)
        # Peers may announce a later crash first, so one pass in the order of arrival can be short.
        for _ in range(CRASHES_IN_A_ROW - 1):
            for life, crash in self.open_crash_by_life.items():
                earlier = [length_by_life.get(other, 0) for other in crash.earlier_lives]
                length_by_life[life] = min(CRASHES_IN_A_ROW, 1 + max(earlier, default=0))
        return max(length_by_life.values(), default=0)

    def lives(self) -> frozenset[ServerLife]:
        """Return the servers whose crashes count against the part."""
        return frozenset(self.open_crash_by_life)

    def requests(self) -> frozenset[tuple[ServerLife, str]]:
        """Return the requests that had the part, with the servers that crashed with them."""
        return frozenset(
            (life, fingerprint)
            for life, crash in self.open_crash_by_life.items()
            for fingerprint in crash.fingerprints
        )


@attrs.frozen(slots=True)
class _Suspect:
    part: str
    lives: frozenset[ServerLife]
    requests: frozenset[tuple[ServerLife, str]]

    def is_narrower_than(self, other: _Suspect) -> bool:
        """Return whether all requests with this part at crashes hold the other part too."""
        return self.requests < other.requests


class PartEvidence:
    """The crashes that count against parts of prompts, as all nodes have seen them.

    >>> evidence = PartEvidence()
    >>> lives = [ServerLife("i-1"), ServerLife("i-2"), ServerLife("i-3")]
    >>> for number, life in enumerate(lives):
    ...     known = evidence.known_lives(("bad", "first"))
    ...     _ = evidence.record_crash(PartsCrash(f"r{number}", life, known), number * 10)
    ...     _ = evidence.record_answered(("first",), number * 10 + 5, number * 10 + 9)
    >>> evidence.culprits()
    [frozenset({'bad'})]
    """

    def __init__(self) -> None:
        self._part_by_id: OrderedDict[str, _Part] = OrderedDict()

    def known_lives(self, parts: Sequence[str]) -> dict[str, tuple[ServerLife, ...]]:
        """Return the crashes that count against some parts now, the newest ones."""
        known: dict[str, tuple[ServerLife, ...]] = {}
        for part in parts:
            state = self._part_by_id.get(part)
            known[part] = (
                () if state is None else tuple(state.open_crash_by_life)[-MAX_KNOWN_LIVES:]
            )
        return known

    def record_crash(self, crash: PartsCrash, now_ms: int) -> bool:
        """Record that a server crashed with a request that it had hardly begun to answer.

        :return: whether that is new.
        """
        is_new = False
        for part, known_lives in crash.known_lives_by_part.items():
            state = self._state(part, now_ms)
            if crash.life in state.cleared_ms_by_life:
                continue
            entry = state.open_crash_by_life.get(crash.life)
            if entry is None:
                entry = state.open_crash_by_life[crash.life] = _Crash(now_ms)
                state.last_crash_ms = now_ms
                self._part_by_id.move_to_end(part)
                trim(state.open_crash_by_life, MAX_LIVES_PER_PART)
            if crash.fingerprint in entry.fingerprints:
                continue
            if len(entry.fingerprints) < MAX_REQUESTS_PER_LIFE:
                is_new = True
                entry.fingerprints.add(crash.fingerprint)
            entry.earlier_lives.update(known_lives)
        return is_new

    def _state(self, part: str, now_ms: int) -> _Part:
        state = self._part_by_id.get(part)
        if state is None:
            state = self._part_by_id[part] = _Part(now_ms)
            trim(self._part_by_id, MAX_PARTS)
        return state

    def record_answered(self, parts: Iterable[str], began_ms: int, now_ms: int) -> list[SoundPart]:
        """Record that a request was answered; crashes known before have another cause.

        :param began_ms: when the answer began.
        :return: the parts against which crashes counted.
        """
        sound = []
        for part in parts:
            state = self._part_by_id.get(part)
            if state is None:
                continue
            lives = tuple(
                life
                for life, crash in state.open_crash_by_life.items()
                if crash.known_ms < began_ms
            )
            if lives:
                sound.append(SoundPart(part, lives))
                self.clear(sound[-1], now_ms)
        return sound

    def clear(self, sound: SoundPart, now_ms: int) -> bool:
        """Let crashes count no more against a part; return whether any did until now."""
        state = self._state(sound.part, now_ms)
        is_new = False
        for life in sound.lives:
            is_new = state.open_crash_by_life.pop(life, None) is not None or is_new
            state.cleared_ms_by_life.setdefault(life, now_ms)
        trim(state.cleared_ms_by_life, MAX_LIVES_PER_PART)
        return is_new

    def forget_old(self, kept: Container[str], now_ms: int) -> None:
        """Forget parts without recent crashes.

        :param kept: parts that are refused: without its crashes one of them would be allowed again.
        """
        for part, state in list(self._part_by_id.items()):
            if part not in kept and now_ms - state.last_crash_ms > EVIDENCE_TTL_MS:
                del self._part_by_id[part]

    def forget(self, part: str, now_ms: int) -> None:
        """Let no crash until now count against a part."""
        self.clear(SoundPart(part, tuple(self.lives(frozenset({part})))), now_ms)

    def crashes_in_a_row(self, part: str) -> int:
        """Return how many crashes in a row count against a part."""
        state = self._part_by_id.get(part)
        return 0 if state is None else state.crashes_in_a_row()

    def lives(self, culprit: Culprit) -> tuple[ServerLife, ...]:
        """Return the crashes that count against all of some parts."""
        states = [self._part_by_id.get(part) for part in culprit]
        if not states or None in states:
            return ()
        shared = frozenset.intersection(*(state.lives() for state in states))
        return tuple(life for life in states[0].open_crash_by_life if life in shared)

    def knows(self, culprit: Culprit) -> bool:
        """Return whether crashes or answers of all of some parts are known."""
        return culprit <= self._part_by_id.keys()

    def culprits(self) -> list[Culprit]:
        """Return what explains the crashes, as narrowly as possible.

        Parts that were together in all requests at the crashes can't be told apart, so only
        requests with all of them are refused.
        """
        suspects = self._suspects()
        kept = [suspect for suspect in suspects if not _is_explained(suspect, suspects)]
        found = [
            frozenset(
                {suspect.part}
                | {other.part for other in suspects if suspect.requests <= other.requests}
            )
            for suspect in kept
        ]
        return list(dict.fromkeys(found))

    def _suspects(self) -> list[_Suspect]:
        found = []
        for part, state in self._part_by_id.items():
            if len(state.open_crash_by_life) < CRASHES_IN_A_ROW:
                continue
            requests = state.requests()
            is_several = len({fingerprint for _, fingerprint in requests}) >= MIN_REQUESTS
            if is_several and state.crashes_in_a_row() >= CRASHES_IN_A_ROW:
                found.append(_Suspect(part, state.lives(), requests))
        return found


def _is_explained(suspect: _Suspect, suspects: list[_Suspect]) -> bool:
    """Return whether other suspects explain the crashes with a part better than the part does."""
    narrower = [other for other in suspects if other.is_narrower_than(suspect)]
    if narrower:
        explained = frozenset().union(*(other.lives for other in narrower))
        return len(suspect.lives - explained) < MIN_UNEXPLAINED_CRASHES
    for other in suspects:
        if other is suspect or suspect.is_narrower_than(other):
            continue
        # A bystander is at some of the crashes, the culprit at all of them.
        if suspect.lives < other.lives:
            return True
        if suspect.lives == other.lives and len(suspect.requests) < len(other.requests):
            return True
    return False
