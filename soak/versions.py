"""Judges streams while runners of two software versions serve, by what callers got.

What runners of two versions generate does not fit together. A stream that its caller takes up again
goes on at the version that began it, and does so nearly as often as a new stream begins, as long as
enough runners of that version serve.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import attrs

from .processes import Record

MAX_MIXED: Final = 2
"""So many streams with events of two versions are tolerated."""

MIN_TAKEN_UP: Final = 12
"""Fewer streams that were taken up again are not judged."""

MIN_SHARE: Final = 1 / 2
"""Of the share of new streams that begin, so much must go on when taken up again."""

NEAR_MS: Final = 1_000
"""New streams are compared if they began so near to one that was taken up again."""

MIN_RUNNERS: Final = 2
"""A stream counts if so many runners of its version serve as it is taken up again."""


@attrs.frozen(slots=True)
class MixedStream:
    """A stream with events of several versions.

    :param tries: the caller's requests that brought events.
    """

    tries: list[str]
    versions: list[str]

    def line(self) -> str:
        """Return what there is to tell in a line."""
        where = "in one answer" if len(self.tries) == 1 else f"over {len(self.tries)} tries"
        return f"{', '.join(self.tries)} got events of {', '.join(self.versions)} {where}"


@attrs.define(slots=True)
class Resumptions:
    """What became of streams that callers took up again, and of new ones near to them."""

    new: int = 0
    begun: int = 0
    taken_up: int = 0
    went_on: int = 0

    def are_lost(self) -> bool:
        """Return whether streams that were taken up again went on far too seldom."""
        if self.taken_up < MIN_TAKEN_UP or not self.new:
            return False
        return self.went_on / self.taken_up < MIN_SHARE * self.begun / self.new

    def line(self) -> str:
        """Return what there is to tell in a line."""
        return (
            f"{self.went_on} of {self.taken_up} streams that were taken up again went on, "
            f"{self.begun} of {self.new} new ones near to them began"
        )


def mixed_streams(callers: Iterable[Record]) -> list[MixedStream]:
    """Return the streams whose events, over all tries of their caller, are of several versions."""
    mixed = []
    for tries in _tries_by_stream(callers).values():
        with_events = [record for record in tries if record.fields["events"]]
        versions = [version for record in with_events for version in record.fields["versions"]]
        if len(set(versions)) > 1:
            names = [record.fields["request"] for record in with_events]
            mixed.append(MixedStream(names, [str(v) for v in dict.fromkeys(versions)]))
    return mixed


def resumptions(
    callers: Iterable[Record],
    events_by_request: Mapping[str, int],
    is_undisturbed: Callable[[Record, int], bool],
    runners_serving: Callable[[str, int], int],
) -> Resumptions:
    """Count streams taken up again, the new ones near to them, and which went on or began.

    :param events_by_request: how many events a whole stream has.
    :param is_undisturbed: whether the node of a try was undisturbed when the try was sent.
    :param runners_serving: returns how many runners of a version serve at a time.
    """
    new, taken_up = [], []
    for tries in _tries_by_stream(callers).values():
        version: str | None = None
        for record in tries:
            fields = record.fields
            sent_ms = record.at_ms - fields["took_ms"]
            if fields["customer"] is not None and is_undisturbed(record, sent_ms):
                if not fields["after"]:
                    new.append((sent_ms, bool(fields["events"])))
                elif version is not None and runners_serving(version, sent_ms) >= MIN_RUNNERS:
                    total = events_by_request.get(fields["first"])
                    taken_up.append((sent_ms, _went_on(record, total)))
            if version is None and fields["versions"]:
                version = fields["versions"][0]
    taken_up_ms = sorted(at_ms for at_ms, _ in taken_up)
    near = [begun for at_ms, begun in new if _is_near(at_ms, taken_up_ms)]
    return Resumptions(len(near), sum(near), len(taken_up), sum(went_on for _, went_on in taken_up))


def _is_near(at_ms: int, sorted_ms: list[int]) -> bool:
    index = bisect_left(sorted_ms, at_ms - NEAR_MS)
    return index < len(sorted_ms) and sorted_ms[index] <= at_ms + NEAR_MS


def _went_on(record: Record, total: int | None) -> bool:
    fields = record.fields
    is_at_end = fields["after"] == total and fields["status"] == 200
    return bool(fields["events"]) or is_at_end


def _tries_by_stream(callers: Iterable[Record]) -> dict[str, list[Record]]:
    tries: dict[str, list[Record]] = {}
    for record in sorted(callers, key=lambda r: r.at_ms):
        if record.event == "ended" and "events" in record.fields:
            tries.setdefault(record.fields["first"], []).append(record)
    return tries
