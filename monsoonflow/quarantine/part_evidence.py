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
"""Crashes that a wide part must explain beyond a narrower one to be refused alone: a single one may
have another cause."""

EVIDENCE_TTL_MS: Final = 600_000
"""How long a crash counts against a part after the last crash with that part."""

SOUND_HISTORY_MS: Final = 60_000
"""How long before the first crash an answer to a request with a part tells that it was sound."""

MIN_HISTORY_MS: Final = 3_000
"""For how long a node must have seen answers to tell what was sound before."""

ANSWER_TIME_MS: Final = 1_500
"""How long a part that was sound before is not refused: requests with it may be answered."""

OUTAGE_TIME_MS: Final = 5_000
"""The same while nothing at all is answered: all runners may have crashed, and are back by then."""

BESIDE_MS: Final = 10_000
"""How long before the first and after the last crash that counts against a part another crash still
tells that servers crash without it."""

MAX_CRASHES: Final = 256
MAX_CULPRIT_PARTS: Final = 4
"""Parts that are named together at most; their names must fit in the key of a row."""

MAX_PARTS: Final = 4_096
MAX_LIVES_PER_PART: Final = 64
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


@attrs.define(slots=True)
class Judgement:
    """What the evidence says about suspect parts.

    :param culprits: what must be refused.
    :param bystanders: what must not be refused alone: others explain the crashes.
    """

    culprits: list[Culprit] = attrs.Factory(list)
    bystanders: list[Culprit] = attrs.Factory(list)


class PartEvidence:
    """The crashes that count against parts of prompts, as all nodes have seen them.

    >>> evidence = PartEvidence()
    >>> lives = [ServerLife("i-1"), ServerLife("i-2"), ServerLife("i-3")]
    >>> for number, life in enumerate(lives):
    ...     known = evidence.known_lives(("bad", "first"))
    ...     _ = evidence.record_crash(PartsCrash(f"r{number}", life, known), number * 10)
    ...     _ = evidence.record_answered(("first",), number * 10 + 5, number * 10 + 9)
    >>> evidence.judge(100_000).culprits
    [frozenset({'bad'})]
    """

    def __init__(self) -> None:
        self._part_by_id: OrderedDict[str, _Part] = OrderedDict()
        self._answered_ms_by_part: OrderedDict[str, int] = OrderedDict()
        self._first_answer_ms: int | None = None
        self._last_answer_ms: int | None = None
        self._crashed_ms_by_life: OrderedDict[ServerLife, int] = OrderedDict()

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
        self.record_server_crash(crash.life, now_ms)
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

    def record_server_crash(self, life: ServerLife, now_ms: int) -> None:
        """Record that a server crashed, whatever it had to answer."""
        if life not in self._crashed_ms_by_life:
            self._crashed_ms_by_life[life] = now_ms
            trim(self._crashed_ms_by_life, MAX_CRASHES)

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
            self._remember_answer(part, now_ms)
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
        self._remember_answer(sound.part, now_ms)
        return self._drop_crashes(sound.part, sound.lives, now_ms)

    def _drop_crashes(self, part: str, lives: Iterable[ServerLife], now_ms: int) -> bool:
        state = self._state(part, now_ms)
        is_new = False
        for life in lives:
            is_new = state.open_crash_by_life.pop(life, None) is not None or is_new
            state.cleared_ms_by_life.setdefault(life, now_ms)
        trim(state.cleared_ms_by_life, MAX_LIVES_PER_PART)
        return is_new

    def _remember_answer(self, part: str, now_ms: int) -> None:
        if self._first_answer_ms is None:
            self._first_answer_ms = now_ms
        self._last_answer_ms = now_ms
        self._answered_ms_by_part[part] = now_ms
        self._answered_ms_by_part.move_to_end(part)
        trim(self._answered_ms_by_part, MAX_PARTS)

    def was_answered_since(self, part: str, since_ms: int) -> bool:
        """Return whether requests with a part have been answered since a moment, as known here."""
        answered_ms = self._answered_ms_by_part.get(part)
        return answered_ms is not None and answered_ms >= since_ms

    def _had_time_for_answers(self, part: str, state: _Part, now_ms: int) -> bool:
        """Return whether a part that was sound would have been cleared by now.

        Several runners may crash within the time of an answer, and bystanders with a popular part
        go from one to the next with the culprit.
        """
        first_ms = min(crash.known_ms for crash in state.open_crash_by_life.values())
        is_history_known = (
            self._first_answer_ms is not None and first_ms - self._first_answer_ms >= MIN_HISTORY_MS
        )
        if is_history_known and not self.was_answered_since(part, first_ms - SOUND_HISTORY_MS):
            return True
        is_anything_answered = self._last_answer_ms is not None and self._last_answer_ms >= first_ms
        return now_ms - first_ms >= (ANSWER_TIME_MS if is_anything_answered else OUTAGE_TIME_MS)

    def forget_old(self, kept: Container[str], now_ms: int) -> None:
        """Forget parts without recent crashes.

        :param kept: parts that are refused: without its crashes one of them would be allowed again.
        """
        for part, state in list(self._part_by_id.items()):
            if part not in kept and now_ms - state.last_crash_ms > EVIDENCE_TTL_MS:
                del self._part_by_id[part]

    def forget(self, part: str, now_ms: int) -> None:
        """Let no crash until now count against a part."""
        self._drop_crashes(part, self.lives(frozenset({part})), now_ms)

    def crashed_since(self, part: str, since_ms: int) -> bool:
        """Return whether a server has crashed with a part since a moment."""
        state = self._part_by_id.get(part)
        return state is not None and state.last_crash_ms >= since_ms

    def last_crash_ms(self, culprit: Culprit | None) -> int | None:
        """Return when the last server crashed with any of some parts; with ``None``, any server."""
        if culprit is None:
            return max(self._crashed_ms_by_life.values(), default=None)
        states = [state for part in culprit if (state := self._part_by_id.get(part)) is not None]
        return max((state.last_crash_ms for state in states), default=None)

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

    def crashes_beside(self, culprit: Culprit) -> frozenset[ServerLife]:
        """Return the servers that crashed without some parts, beside those that count against them.

        They show that something else crashes servers too.
        """
        states = [state for part in culprit if (state := self._part_by_id.get(part)) is not None]
        open_crashes = [crash for state in states for crash in state.open_crash_by_life.values()]
        if not open_crashes:
            return frozenset()
        from_ms = min(crash.known_ms for crash in open_crashes) - BESIDE_MS
        until_ms = max(crash.known_ms for crash in open_crashes) + BESIDE_MS
        with_parts = {
            life
            for state in states
            for life in (*state.open_crash_by_life, *state.cleared_ms_by_life)
        }
        return frozenset(
            life
            for life, at_ms in self._crashed_ms_by_life.items()
            if from_ms <= at_ms <= until_ms and life not in with_parts
        )

    def is_cleared(self, culprit: Culprit, lives: Iterable[ServerLife]) -> bool:
        """Return whether crashes that counted against parts no longer count against one of them."""
        states = [self._part_by_id.get(part) for part in culprit]
        return any(
            life in state.cleared_ms_by_life
            for state in states
            if state is not None
            for life in lives
        )

    def judge(self, now_ms: int) -> Judgement:
        """Return what must be refused so that none of the crashes can happen again.

        A wide part is refused alone only if no narrower one explains its crashes. Until then only
        requests with both are refused, which is right whichever of them is bad.
        """
        suspects = self._suspects(now_ms)
        wide = [suspect for suspect in suspects if _has_narrower_cause(suspect, suspects)]
        groups: dict[Culprit, _Suspect] = {}
        for suspect in suspects:
            if suspect not in wide:
                together = [o.part for o in suspects if o.requests == suspect.requests]
                beside = [o.part for o in wide if suspect.requests < o.requests]
                parts = [*sorted(together), *sorted(beside)]
                groups[frozenset(parts[:MAX_CULPRIT_PARTS])] = suspect
        judgement = _without_bystanders(groups)
        judgement.bystanders += [frozenset({suspect.part}) for suspect in wide]
        return judgement

    def _suspects(self, now_ms: int) -> list[_Suspect]:
        found = []
        for part, state in self._part_by_id.items():
            if len(state.open_crash_by_life) < CRASHES_IN_A_ROW:
                continue
            if not self._had_time_for_answers(part, state, now_ms):
                continue
            requests = state.requests()
            is_several = len({fingerprint for _, fingerprint in requests}) >= MIN_REQUESTS
            if is_several and state.crashes_in_a_row() >= CRASHES_IN_A_ROW:
                found.append(_Suspect(part, state.lives(), requests))
        return found


def _without_bystanders(groups: dict[Culprit, _Suspect]) -> Judgement:
    """Return the culprits; what is only at crashes that others explain was there by chance.

    A culprit is at all of its crashes, a bystander at some of them, so those at most come first.
    """
    ordered = sorted(groups.items(), key=lambda group: len(group[1].lives), reverse=True)
    judgement = Judgement()
    alone: list[_Suspect] = []
    for culprit, suspect in ordered:
        at_more = [other.lives for other in alone if len(other.lives) > len(suspect.lives)]
        if suspect.lives <= frozenset().union(*at_more):
            judgement.bystanders.append(culprit)
            continue
        judgement.culprits.append(culprit)
        if len(culprit) == 1:
            alone.append(suspect)
    return judgement


def _has_narrower_cause(suspect: _Suspect, suspects: list[_Suspect]) -> bool:
    """Return whether a part that is only in some of the requests explains the same crashes."""
    return any(
        other.requests < suspect.requests
        and len(suspect.lives - other.lives) < MIN_UNEXPLAINED_CRASHES
        for other in suspects
    )
