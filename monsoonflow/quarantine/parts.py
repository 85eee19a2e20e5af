"""Parts of prompts that are kept away from all servers, and what this node announces of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

from ..core.server_life import ServerLife
from .bounded import trim
from .broken_connections import BrokenConnections
from .models import PartsCrash, QuarantinedRequest, RequestTraits, SoundPart
from .part_evidence import MIN_UNEXPLAINED_CRASHES, Culprit, PartEvidence
from .suspects import IGNORE_AFTER_LIFT_MS

KEY_PREFIX: Final = "part:"
PART_SEPARATOR: Final = "+"

HARDLY_BEGUN_MS: Final = 500
"""A server that has sent events for longer did not crash because it began to answer."""

TRIALS_AFTER_MS: Final = (60_000, 3_600_000)
"""How long parts are refused before a request is tried, for each trial. The first one frees parts
that were refused wrongly; each costs a server if they are bad, so there is none after the last."""

DOUBTFUL_TRIAL_AFTER_MS: Final = 5_000
"""The same if other refused parts explain the crashes as well, or something else crashes servers
too."""

MIN_CRASHES_BESIDE: Final = 2
"""Crashes of servers without a part, beside those with it, that make its guilt doubtful. A single
one may be a crash whose requests the node has not heard of."""

MAX_QUARANTINED_PARTS: Final = 256
MAX_OWN_CRASHES: Final = 512
MAX_ANNOUNCED_CRASHES: Final = 64
"""Requests at crashes that each heartbeat announces. If there are more, all have their turn."""

MAX_ANNOUNCED_CRASH_PARTS: Final = 192
"""Parts of these requests: a heartbeat that does not fit in a datagram is not sent at all."""

MAX_ANNOUNCED_SOUND_PARTS: Final = 64
MAX_ANNOUNCED_SOUND_LIVES: Final = 192
ANNOUNCEMENT_TTL_MS: Final = 10_000

SOUND_MEMORY_MS: Final = 3_000
"""How long after an answer to a request with a part other nodes' quarantines of it are ignored:
they may not have learned of the answer."""

URGENT_CRASHES: Final = 2
"""Crashes in a row of a part from which on all peers are told without delay."""


def key_of(culprit: Culprit) -> str:
    """Return the name of parts in rows, messages and logs.

    >>> key_of(frozenset({"b", "a"})), culprit_of("part:a+b") == {"a", "b"}, culprit_of("1f")
    ('part:a+b', True, None)
    """
    return KEY_PREFIX + PART_SEPARATOR.join(sorted(culprit))


def culprit_of(key: str) -> Culprit | None:
    """Return the parts that a key names; ``None`` for the fingerprint of a request."""
    if not key.startswith(KEY_PREFIX):
        return None
    return frozenset(key.removeprefix(KEY_PREFIX).split(PART_SEPARATOR))


@attrs.define(slots=True)
class _Entry:
    """Parts that are refused.

    :param is_found_here: whether this node's own evidence says so.
    :param trials: requests that have been sent since, to see whether they still crash servers.
    :param allows_trial: whether the next request is sent.
    """

    culprit: Culprit
    lives: tuple[ServerLife, ...]
    source: str
    since_ms: int
    is_found_here: bool = False
    trials: int = 0
    allows_trial: bool = False


@attrs.define(slots=True)
class Findings:
    """What has changed in the quarantine of parts.

    :param quarantined: newly refused, as in the rows of the store.
    :param lifted: keys that are refused no more.
    :param replaced: keys that others cover, which refuse more requests.
    :param is_urgent: whether all peers must be told without delay.
    """

    quarantined: list[QuarantinedRequest] = attrs.Factory(list)
    lifted: list[str] = attrs.Factory(list)
    replaced: list[str] = attrs.Factory(list)
    is_urgent: bool = False


class PartQuarantine:
    """Finds and remembers parts of prompts that crash servers."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._evidence = PartEvidence()
        self._broken_connections: BrokenConnections[PartsCrash] = BrokenConnections()
        self._entry_by_key: OrderedDict[str, _Entry] = OrderedDict()
        self._own_crashes: OrderedDict[tuple[ServerLife, str], tuple[int, PartsCrash]] = (
            OrderedDict()
        )
        self._announced_from = 0
        self._own_sound_parts: OrderedDict[str, tuple[int, SoundPart]] = OrderedDict()
        self._lifted_ms_by_key: OrderedDict[str, int] = OrderedDict()
        self._disproved_ms_by_key: OrderedDict[str, int] = OrderedDict()

    def is_quarantined(self, parts: tuple[str, ...]) -> bool:
        """Return whether requests with these parts must not be sent to any server."""
        if not self._entry_by_key:
            return False
        held = frozenset(parts)
        return any(entry.culprit <= held for entry in self._entry_by_key.values())

    def known_lives(self, parts: tuple[str, ...]) -> dict[str, tuple[ServerLife, ...]]:
        """Return the crashes that count against parts when a request with them is sent."""
        return self._evidence.known_lives(parts)

    def record_broken_connection(
        self,
        traits: RequestTraits,
        life: ServerLife,
        known_lives_by_part: dict[str, tuple[ServerLife, ...]],
        now_ms: int,
    ) -> Findings:
        """Record that a connection broke to a server that had hardly begun to answer."""
        crash = PartsCrash(traits.fingerprint, life, known_lives_by_part)
        return self._record_own_crashes(
            self._broken_connections.record_broken(life, traits.fingerprint, crash, now_ms), now_ms
        )

    def record_server_crash(self, life: ServerLife, now_ms: int) -> Findings:
        """Record that a server has crashed."""
        self._evidence.record_server_crash(life, now_ms)
        return self._record_own_crashes(self._broken_connections.record_crash(life, now_ms), now_ms)

    def _record_own_crashes(self, crashes: dict[str, PartsCrash], now_ms: int) -> Findings:
        findings = Findings()
        for fingerprint, crash in crashes.items():
            self._evidence.record_crash(crash, now_ms)
            self._own_crashes[crash.life, fingerprint] = now_ms, crash
            trim(self._own_crashes, MAX_OWN_CRASHES)
            in_a_row = map(self._evidence.crashes_in_a_row, crash.known_lives_by_part)
            findings.is_urgent |= max(in_a_row, default=0) >= URGENT_CRASHES
        if crashes:
            self._apply_evidence(findings, now_ms)
        return findings

    def record_answered(self, parts: tuple[str, ...], began_ms: int, now_ms: int) -> Findings:
        """Record that a server answered a request, so none of its parts crashes servers.

        :param began_ms: when the answer began.
        """
        findings = Findings()
        urgent_parts = {
            part for part in parts if self._evidence.crashes_in_a_row(part) >= URGENT_CRASHES
        }
        sound_parts = self._evidence.record_answered(parts, began_ms, now_ms)
        for sound in sound_parts:
            self._own_sound_parts[sound.part] = now_ms, sound
            self._own_sound_parts.move_to_end(sound.part)
            trim(self._own_sound_parts, MAX_ANNOUNCED_SOUND_PARTS)
            findings.is_urgent |= sound.part in urgent_parts
        held = frozenset(parts)
        for key, entry in list(self._entry_by_key.items()):
            if entry.culprit <= held and entry.since_ms < began_ms:
                self._lift(key, findings)
        if sound_parts:
            self._apply_evidence(findings, now_ms)
        return findings

    def apply_announced(
        self, crashes: Iterable[PartsCrash], sound_parts: Iterable[SoundPart], now_ms: int
    ) -> Findings:
        """Apply the crashes and answers that a peer has seen."""
        findings = Findings()
        has_changed = False
        for sound in sound_parts:
            if not self._evidence.clear(sound, now_ms):
                continue
            has_changed = True
            entry = self._entry_by_key.get(key_of(frozenset({sound.part})))
            if entry is not None and not entry.is_found_here:
                self._lift(key_of(entry.culprit), findings)
        for crash in crashes:
            has_changed = self._evidence.record_crash(crash, now_ms) or has_changed
        if has_changed:
            self._apply_evidence(findings, now_ms)
        return findings

    def quarantine(self, key: str, lives: tuple[ServerLife, ...], source: str, now_ms: int) -> bool:
        """Refuse parts that a peer or the store names; return whether they were not before."""
        culprit = culprit_of(key)
        if not culprit or any(e.culprit <= culprit for e in self._entry_by_key.values()):
            return False
        judgement = self._evidence.judge(now_ms)
        if culprit in judgement.bystanders:
            return False
        if self._was_recently_lifted(key, now_ms) and culprit not in judgement.culprits:
            return False
        for part in culprit:
            is_sound = self._evidence.was_answered_since(part, now_ms - SOUND_MEMORY_MS)
            if len(culprit) == 1 and is_sound:
                return False
        self._add(_Entry(culprit, lives or self._evidence.lives(culprit), source, now_ms))
        return True

    def lift(self, key: str, now_ms: int) -> bool:
        """Allow requests with parts again, since their row was removed.

        Crashes of the last minute still count: the row may have been removed by a node that knows
        less of them.

        :return: whether they were refused.
        """
        culprit = culprit_of(key) or frozenset()
        self._ignore(key, now_ms)
        for part in culprit:
            if len(culprit) == 1 and not self._evidence.crashed_since(
                part, now_ms - IGNORE_AFTER_LIFT_MS
            ):
                self._evidence.forget(part, now_ms)
        return self._entry_by_key.pop(key, None) is not None

    def _ignore(self, key: str, now_ms: int) -> None:
        self._lifted_ms_by_key[key] = now_ms
        self._lifted_ms_by_key.move_to_end(key)
        trim(self._lifted_ms_by_key, MAX_QUARANTINED_PARTS)

    def _was_recently_lifted(self, key: str, now_ms: int) -> bool:
        lifted_ms = self._lifted_ms_by_key.get(key)
        return lifted_ms is not None and now_ms - lifted_ms <= IGNORE_AFTER_LIFT_MS

    def is_disproved(self, key: str, now_ms: int) -> bool:
        """Return whether this node's own evidence has recently cleared parts that it refused."""
        disproved_ms = self._disproved_ms_by_key.get(key)
        return disproved_ms is not None and now_ms - disproved_ms <= IGNORE_AFTER_LIFT_MS

    def forget_old(self, now_ms: int) -> None:
        """Forget crashes that are too long ago to count."""
        kept = frozenset().union(*(entry.culprit for entry in self._entry_by_key.values()))
        self._evidence.forget_old(kept, now_ms)

    def due_for_trial(self, parts: tuple[str, ...], now_ms: int) -> list[str]:
        """Return the keys of the refused parts that a request with these parts would try.

        None unless all that refuse the request have been refused for long enough.
        """
        held = frozenset(parts)
        refusing = {
            key: entry for key, entry in self._entry_by_key.items() if entry.culprit <= held
        }
        waiting = [key for key, entry in refusing.items() if not entry.allows_trial]
        if all(self._is_due_for_trial(refusing[key], now_ms) for key in waiting):
            return waiting
        return []

    def _is_due_for_trial(self, entry: _Entry, now_ms: int) -> bool:
        if entry.trials >= len(TRIALS_AFTER_MS):
            return False
        refused_for_ms = now_ms - entry.since_ms
        if refused_for_ms > TRIALS_AFTER_MS[entry.trials]:
            return True
        if self._has_crashes_beside(entry):
            return self._is_due_beside_crashes(entry, now_ms)
        is_doubtful = entry.trials == 0 and self._is_explained_by_others(entry)
        return is_doubtful and refused_for_ms > DOUBTFUL_TRIAL_AFTER_MS

    def _is_due_beside_crashes(self, entry: _Entry, now_ms: int) -> bool:
        """Return whether to try parts while something else crashes servers too.

        The first trial may meet such a crash; the second waits for their end, for a minute at most.
        """
        if entry.trials and now_ms - entry.since_ms > TRIALS_AFTER_MS[0]:
            return True
        last_ms = self._evidence.last_crash_ms(None if entry.trials else entry.culprit)
        return last_ms is not None and now_ms - last_ms > DOUBTFUL_TRIAL_AFTER_MS

    def _is_explained_by_others(self, entry: _Entry) -> bool:
        """Return whether other refused parts are at nearly all of the same crashes."""
        others = [
            set(other.lives)
            for other in self._entry_by_key.values()
            if other is not entry and len(other.lives) >= len(entry.lives)
        ]
        unexplained = set(entry.lives).difference(*others)
        # Each combination of a bad part may be refused by itself; one trial serves them all.
        is_tried = any(
            other.trials and other.culprit & entry.culprit for other in self._entry_by_key.values()
        )
        return bool(entry.lives) and not is_tried and len(unexplained) < MIN_UNEXPLAINED_CRASHES

    def _has_crashes_beside(self, entry: _Entry) -> bool:
        """Return whether servers crash for a cause that no refused part explains."""
        explained = {life for other in self._entry_by_key.values() for life in other.lives}
        unexplained = self._evidence.crashes_beside(entry.culprit) - explained
        return len(unexplained) >= MIN_CRASHES_BESIDE

    def trials(self, key: str) -> int:
        """Return how many requests with refused parts have been tried, as known here."""
        entry = self._entry_by_key.get(key)
        return 0 if entry is None else entry.trials

    def record_trial(self, key: str, trials: int, is_own: bool, now_ms: int) -> None:
        """Record that a node tries a request with refused parts.

        :param trials: the number of trials until now, this one included.
        :param is_own: whether it is this node, which sends the next request that it gets.
        """
        entry = self._entry_by_key.get(key)
        if entry is not None:
            entry.since_ms, entry.trials, entry.allows_trial = now_ms, trials, is_own

    def begin_trial(self, parts: tuple[str, ...]) -> bool:
        """Return whether a request with refused parts is the one that is tried."""
        held = frozenset(parts)
        entries = [entry for entry in self._entry_by_key.values() if entry.culprit <= held]
        if not entries or not all(entry.allows_trial for entry in entries):
            return False
        for entry in entries:
            entry.allows_trial = False
        return True

    def return_trial(self, parts: tuple[str, ...]) -> None:
        """Let another request be tried, since the last one has reached no server."""
        held = frozenset(parts)
        for entry in self._entry_by_key.values():
            if entry.culprit <= held:
                entry.allows_trial = True

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return what is refused, the newest last."""
        return [
            QuarantinedRequest(key, entry.lives, entry.source)
            for key, entry in self._entry_by_key.items()
        ]

    def has_seen_crash(self, key: str) -> bool:
        """Return whether this node itself has seen a crash that it lays to parts."""
        entry = self._entry_by_key.get(key)
        return entry is not None and entry.is_found_here and self._has_own_crash(entry.culprit)

    def own_crashes(self, now_ms: int) -> tuple[PartsCrash, ...]:
        """Return the recent crashes that this node announces to its peers."""
        recent = [
            crash
            for seen_ms, crash in self._own_crashes.values()
            if now_ms - seen_ms <= ANNOUNCEMENT_TTL_MS
        ]
        if not recent:
            return ()
        self._announced_from %= len(recent)
        from_here = recent[self._announced_from :] + recent[: self._announced_from]
        announced: list[PartsCrash] = []
        part_count = 0
        for crash in from_here[:MAX_ANNOUNCED_CRASHES]:
            part_count += len(crash.known_lives_by_part)
            if announced and part_count > MAX_ANNOUNCED_CRASH_PARTS:
                break
            announced.append(crash)
        if len(announced) < len(recent):
            self._announced_from += len(announced)
        return tuple(announced)

    def own_sound_parts(self, now_ms: int) -> tuple[SoundPart, ...]:
        """Return the parts whose requests were recently answered, which this node announces."""
        announced: list[SoundPart] = []
        life_count = 0
        for seen_ms, sound in reversed(self._own_sound_parts.values()):
            life_count += len(sound.lives)
            is_too_much = bool(announced) and life_count > MAX_ANNOUNCED_SOUND_LIVES
            if now_ms - seen_ms > ANNOUNCEMENT_TTL_MS or is_too_much:
                break
            announced.append(sound)
        return tuple(announced)

    def _apply_evidence(self, findings: Findings, now_ms: int) -> None:
        """Refuse what the evidence finds, and allow what it finds no more."""
        judgement = self._evidence.judge(now_ms)
        for culprit in judgement.culprits:
            key = key_of(culprit)
            entry = self._entry_by_key.get(key)
            lives = self._evidence.lives(culprit)
            if entry is None and not self._may_decide(culprit, key, now_ms):
                continue
            if entry is None:
                self._disproved_ms_by_key.pop(key, None)
                findings.replaced += self._add(
                    _Entry(culprit, lives, self._name, now_ms, is_found_here=True)
                )
                findings.quarantined.append(QuarantinedRequest(key, lives, self._name))
            else:
                entry.is_found_here, entry.lives = True, lives
        for key, entry in list(self._entry_by_key.items()):
            is_cleared = self._evidence.is_cleared(entry.culprit, entry.lives)
            if is_cleared or entry.culprit in judgement.bystanders:
                self._lift(key, findings)
                # Peers that have not come to the same conclusion yet still announce it.
                self._ignore(key, now_ms)
                self._disproved_ms_by_key[key] = now_ms
                trim(self._disproved_ms_by_key, MAX_QUARANTINED_PARTS)

    def _may_decide(self, culprit: Culprit, key: str, now_ms: int) -> bool:
        """Return whether this node may refuse parts by what it knows.

        A node that has seen none of the crashes may know nothing of the answers either.
        """
        if len(culprit) > 1 and self._was_recently_lifted(key, now_ms):
            return False
        is_covered = any(entry.culprit < culprit for entry in self._entry_by_key.values())
        return not is_covered and self._has_own_crash(culprit)

    def _has_own_crash(self, culprit: Culprit) -> bool:
        return any(
            culprit <= crash.known_lives_by_part.keys() for _, crash in self._own_crashes.values()
        )

    def reconsider(self, now_ms: int) -> Findings:
        """Decide about parts for which there was no time for answers before."""
        findings = Findings()
        self._apply_evidence(findings, now_ms)
        return findings

    def _add(self, entry: _Entry) -> list[str]:
        """Refuse parts; return the keys of what is covered by that."""
        covered = [
            key for key, other in self._entry_by_key.items() if entry.culprit < other.culprit
        ]
        for key in covered:
            entry.trials = max(entry.trials, self._entry_by_key.pop(key).trials)
        self._entry_by_key[key_of(entry.culprit)] = entry
        trim(self._entry_by_key, MAX_QUARANTINED_PARTS)
        return covered

    def _lift(self, key: str, findings: Findings) -> None:
        del self._entry_by_key[key]
        findings.lifted.append(key)
