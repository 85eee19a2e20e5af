"""Tells whether parts of prompts that crash runners were kept away from them, and no other part.

The runners' records say which requests reached them and when they crashed; the nodes' logs only
tell who sent a request, and what a node refused.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from monsoonflow.quarantine.parts import culprit_of
from monsoonflow.report.timeline import LogEntry

from .const import CONTACT_MS, FIRST_PART
from .processes import Record

COUNTED_CRASHES: Final = 5
MAX_LATER: Final = 3
"""Requests with a part that may reach servers after these crashes and the time of contact."""

MAX_WRONGLY_REFUSED_MS: Final = 5_000
"""How long a node may refuse a part that crashes nothing: until it knows of more crashes."""

MAX_BYSTANDERS: Final = 3
"""Rare parts that may be refused longer, beside bad ones: they were at the same crashes."""

MIN_JUDGED: Final = 20
REFUSED: Final = "servers end under"
"""How the cause of a refusal by the quarantine begins."""


def later_requests(
    servers: Iterable[Record], bad_parts: Iterable[str], is_excused: Callable[[Record], bool]
) -> list[str]:
    """Return a line for each part whose requests went on reaching servers that they crash.

    :param is_excused: whether an arrival does not count.
    """
    records = list(servers)
    found = []
    for part in bad_parts:
        arrivals = [r for r in records if r.event == "reached" and part in r.fields["parts"]]
        crashes = crash_times_ms(records, part)
        if len(crashes) < COUNTED_CRASHES:
            continue
        bound_ms = crashes[COUNTED_CRASHES - 1] + CONTACT_MS
        later = [r for r in arrivals if r.at_ms > bound_ms and not is_excused(r)]
        if len(later) > MAX_LATER:
            found.append(f"{len(later)} requests with {part} after {len(crashes)} crashes")
    return found


def crash_times_ms(servers: Iterable[Record], part: str) -> list[int]:
    """Return when servers crashed while they had begun a request with a part."""
    begun_parts: dict[str, set[str]] = {}
    crashed_ms = []
    for record in servers:
        if record.event == "reached":
            begun_parts.setdefault(record.source, set()).update(record.fields["parts"])
        elif record.event == "crashed_by_parts" and part in begun_parts.get(record.source, ()):
            crashed_ms.append(record.at_ms)
    return sorted(crashed_ms)


def wrongly_refused(logs: Iterable[LogEntry], bad_parts: Iterable[str]) -> list[str]:
    """Return a line for each node that refuses for long a part that crashes nothing.

    Without a bad part no part may be refused, and the first part never for long.
    """
    bad = frozenset(bad_parts)
    bystanders: set[str] = set()
    since_ms: dict[tuple[str, str], int] = {}
    found = []

    def end(node: str, key: str, until_ms: int) -> None:
        began_ms = since_ms.pop((node, key), None)
        if began_ms is None or (bad and until_ms - began_ms <= MAX_WRONGLY_REFUSED_MS):
            return
        bystanders.add(key)
        found.append(f"{node} refuses {key} for {until_ms - began_ms} ms")

    ordered = sorted(logs, key=lambda entry: entry.at_ms)
    for entry in ordered:
        key = entry.fields.get("fingerprint", "")
        culprit = culprit_of(key)
        if entry.event == "started":
            for node, other in list(since_ms):
                if node == entry.node:
                    end(node, other, entry.at_ms)
        elif entry.event == "request_quarantined" and culprit is not None and not culprit & bad:
            since_ms.setdefault((entry.node, key), entry.at_ms)
        elif entry.event == "quarantine_lifted":
            end(entry.node, key, entry.at_ms)
    for node, key in list(since_ms):
        end(node, key, ordered[-1].at_ms)
    culprits = [culprit_of(key) or frozenset() for key in bystanders]
    rare_parts = frozenset().union(*culprits) - {FIRST_PART}
    is_first_refused = frozenset({FIRST_PART}) in culprits
    is_tolerated = bad and not is_first_refused and len(rare_parts) <= MAX_BYSTANDERS
    return [] if is_tolerated else found


def refused_sound_requests(logs: Iterable[LogEntry], bad_parts: Iterable[str]) -> list[str]:
    """Return a line if most requests with the first part and no bad one are refused as bad."""
    bad = frozenset(bad_parts)
    sound: set[str] = set()
    refused = 0
    for entry in sorted(logs, key=lambda entry: entry.at_ms):
        request = entry.fields.get("request", "")
        if entry.event == "request_accepted":
            parts = set(entry.fields.get("parts", "").split(","))
            if FIRST_PART in parts and not parts & bad:
                sound.add(request)
        elif entry.event == "request_ended" and request in sound:
            refused += (entry.fields.get("cause") or "").startswith(REFUSED)
    if len(sound) < MIN_JUDGED or refused * 2 <= len(sound):
        return []
    return [f"{refused} of {len(sound)} sound requests are refused as bad"]
