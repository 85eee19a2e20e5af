"""Writes and reads node reports and signs of life as small JSON arrays: one datagram each."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Any, Final

import attrs
import orjson

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..quarantine.models import Ending
from ..routing.budget import RetryUsage
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners
from .models import (
    DutyClaim,
    Heard,
    HeldAdapters,
    LifeSign,
    NamedVersion,
    NodeCard,
    NodeReport,
    RetryMemory,
    WorkChange,
    told_cores,
)

ZLIB_LEVEL: Final = 1
"""Names repeat within a report: a third of the bytes for some 20 us."""

MAX_REPORT_BYTES: Final = 1 << 20
"""A datagram that would unpack to more is no report."""

FORMAT: Final = 4
"""First field of each report; a node of another version is not understood and is left alone."""

SIGN_FORMAT: Final = "s1"
"""First field of each sign of life; a node of an older version leaves it alone."""

CHANGE_FORMAT: Final = "w1"
"""First field of each change of work."""

ASK: Final = b"?"
"""Asks a node whose sign of life was heard for its whole report."""


def encode(report: NodeReport) -> bytes:
    """Return a report's bytes."""
    return zlib.compress(_encoded(report), ZLIB_LEVEL)


def _encoded(report: NodeReport) -> bytes:
    flags = report.ready | report.leaving << 1 | report.store_heard << 2
    return orjson.dumps(
        [
            FORMAT,
            _addresses(report.card),
            report.sequence,
            flags,
            report.config_version,
            {str(life): _work_fields(work) for life, work in report.work_by_server.items()},
            _spent_fields(report.spent_by_service),
            report.left_servers,
            [str(named.ref) for named in report.versions],
            _claim_fields(report.claims),
            (
                None
                if report.residency is None
                else [[held.life, [str(ref) for ref in held.adapters]] for held in report.residency]
            ),
            [attrs.astuple(heard) for heard in report.heard],
            report.came_servers,
            report.card.cores,
            [named.age_ms for named in report.versions],
            _crowded_fields(report.crowded),
            report.lag_ms,
            report.active,
            _memory_fields(report.retries),
            [[ending.fingerprint, ending.life] for ending in report.endings],
            report.quarantined,
        ]
    )


def encode_sign(sign: LifeSign) -> bytes:
    """Return a sign of life's bytes; it is too short for packing to gain anything."""
    flags = sign.ready | sign.leaving << 1 | sign.store_heard << 2 | sign.active << 3
    card = None if sign.card is None else [*_addresses(sign.card), sign.card.cores]
    heard = [attrs.astuple(heard) for heard in sign.heard]
    claims = _claim_fields(sign.claims)
    spent = _spent_fields(sign.spent_by_service)
    named = [SIGN_FORMAT, sign.name, sign.boot, sign.sequence, flags]
    return orjson.dumps(
        [*named, sign.config_version, sign.lag_ms, claims, heard, card, spent, sign.quarantined]
    )


def encode_change(change: WorkChange) -> bytes:
    """Return the bytes of a change of work."""
    work = {str(life): _work_fields(work) for life, work in change.work_by_server.items()}
    return orjson.dumps([CHANGE_FORMAT, change.name, change.boot, change.sequence, work])


def decode(data: bytes) -> NodeReport | LifeSign | WorkChange | None:
    """Return what another node tells, or ``None`` for bytes that can't be read."""
    if data[:1] != b"[":
        return _decode_report(data)
    try:
        fields = orjson.loads(data)
        read = {SIGN_FORMAT: _sign, CHANGE_FORMAT: _change}.get(fields[0])
        return None if read is None else read(fields)
    except (ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _change(fields: list[Any]) -> WorkChange:
    work = {ServerLife(life): _work(work) for life, work in fields[4].items()}
    return WorkChange(str(fields[1]), str(fields[2]), int(fields[3]), work)


def _sign(fields: list[Any]) -> LifeSign:
    flags = int(fields[4])
    return LifeSign(
        name=str(fields[1]),
        boot=str(fields[2]),
        sequence=int(fields[3]),
        ready=bool(flags & 1),
        leaving=bool(flags & 2),
        store_heard=bool(flags & 4),
        active=bool(flags & 8),
        config_version=int(fields[5]),
        lag_ms=max(0, int(fields[6])),
        claims=tuple(_claim(entry) for entry in fields[7]),
        heard=_heard(fields[8]),
        card=None if fields[9] is None else _sign_card(fields[9]),
        spent_by_service=_spent(fields[10]),
        quarantined=tuple(map(str, _after(fields, 11) or ())),
    )


def _sign_card(fields: list[Any]) -> NodeCard:
    *addresses, cores = fields
    return NodeCard(*map(str, addresses), cores=told_cores(cores))


def _decode_report(data: bytes) -> NodeReport | None:
    try:
        unpacker = zlib.decompressobj()
        fields = orjson.loads(unpacker.decompress(data, MAX_REPORT_BYTES))
        # Cut within its checksum it could hold anything.
        if not unpacker.eof:
            return None
        return _decode(fields) if fields[0] == FORMAT else None
    except (zlib.error, ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _decode(fields: list[Any]) -> NodeReport:
    flags = int(fields[3])
    return NodeReport(
        card=NodeCard(*map(str, fields[1]), cores=told_cores(_after(fields, 13))),
        sequence=int(fields[2]),
        ready=bool(flags & 1),
        leaving=bool(flags & 2),
        store_heard=bool(flags & 4),
        config_version=int(fields[4]),
        work_by_server={ServerLife(life): _work(work) for life, work in fields[5].items()},
        spent_by_service=_spent(fields[6]),
        left_servers=tuple(map(ServerLife, fields[7])),
        versions=_versions(fields[8], _after(fields, 14)),
        claims=tuple(_claim(entry) for entry in fields[9]),
        residency=None if fields[10] is None else tuple(map(_held, fields[10])),
        heard=_heard(fields[11]),
        came_servers=tuple(map(ServerLife, fields[12])),
        crowded=_crowded(_after(fields, 15)),
        lag_ms=max(0, int(_after(fields, 16) or 0)),
        # A node of an older version does not tell, and is told all as one that has requests.
        active=_after(fields, 17) is not False,
        retries=_memory(_after(fields, 18)),
        endings=tuple(
            [Ending(str(name), ServerLife(life)) for name, life in _after(fields, 19) or ()]
        ),
        quarantined=tuple(map(str, _after(fields, 20) or ())),
    )


def _spent_fields(spent_by_service: dict[str, RetryUsage]) -> dict[str, list[int]]:
    return {
        service: [spent.first_attempts, spent.retries]
        for service, spent in spent_by_service.items()
    }


def _spent(fields: dict[str, Any]) -> dict[str, RetryUsage]:
    return {service: RetryUsage(*spent) for service, spent in fields.items()}


def _memory_fields(memory: RetryMemory) -> list[Any]:
    hears = sorted(memory.hears)
    return [memory.counts_ms, hears, memory.past_by_service, memory.ended]


def _memory(fields: list[Any] | None) -> RetryMemory:
    """Return what a node remembers; one of an older version remembers nothing for others."""
    if fields is None:
        return RetryMemory()
    counts_ms, hears, past_by_service, ended = fields
    past = {str(service): max(0, int(count)) for service, count in past_by_service.items()}
    return RetryMemory(int(counts_ms), frozenset(map(str, hears)), past, max(0, int(ended)))


def _claim_fields(claims: tuple[DutyClaim, ...]) -> list[Any]:
    return [[c.cell, c.holder, c.epoch, c.heirs, c.counter] for c in claims]


def _heard(entries: list[Any]) -> tuple[Heard, ...]:
    return tuple(Heard(str(name), str(boot), int(sequence)) for name, boot, sequence in entries)


def _crowded_fields(crowded: OverloadedRunners | None) -> dict[str, Any] | None:
    if crowded is None:
        return None
    return {str(life): list(ranks.items()) for life, ranks in crowded.items()}


def _crowded(fields: dict[str, Any] | None) -> OverloadedRunners | None:
    if fields is None:
        return None
    return {
        ServerLife(life): {int(rank): int(tokens) for rank, tokens in ranks}
        for life, ranks in fields.items()
    }


def _work_fields(work: ServerWork) -> list[Any]:
    fields = [
        work.requests,
        work.pending_prefill_tokens,
        work.memory_tokens,
        work.requests_by_adapter,
    ]
    ranks = [[rank, tokens] for rank, tokens in work.pending_prefill_by_rank.items()]
    return [*fields, ranks] if ranks else fields


def _work(fields: list[Any]) -> ServerWork:
    """Return work whose counts are whole: a running total is made of them."""
    ranks = fields[4] if len(fields) > 4 else ()
    return ServerWork(
        int(fields[0]),
        int(fields[1]),
        int(fields[2]),
        Counter({str(name): int(count) for name, count in fields[3].items()}),
        {int(rank): int(tokens) for rank, tokens in ranks},
    )


def _addresses(card: NodeCard) -> tuple[str, ...]:
    """Return a card without what was added to it later.

    That stands at the end of a report, where a node of an older version does not look: it would
    take a card with one field more for no report.
    """
    return (
        card.name,
        card.boot,
        card.data_centre,
        card.callers_address,
        card.peer_address,
        card.report_address,
    )


def _after(fields: list[Any], place: int) -> Any:
    """Return a field that a node of an older version does not tell, or ``None``."""
    return fields[place] if len(fields) > place else None


def _versions(refs: list[Any], ages_ms: list[Any] | None) -> tuple[NamedVersion, ...]:
    """Return versions; a node of an older version tells no ages, and means just now."""
    ages = ages_ms if ages_ms is not None else [0] * len(refs)
    return tuple(
        NamedVersion(ref_of(text), max(0, int(age_ms)))
        for text, age_ms in zip(refs, ages, strict=True)
    )


def _held(entry: list[Any]) -> HeldAdapters:
    return HeldAdapters(ServerLife(entry[0]), tuple(ref_of(text) for text in entry[1]))


def _claim(entry: list[Any]) -> DutyClaim:
    return DutyClaim(
        str(entry[0]), str(entry[1]), int(entry[2]), tuple(map(str, entry[3])), int(entry[4])
    )


def ref_of(text: str) -> AdapterRef:
    """Return the reference that ``MODEL/NAME@VERSION`` names.

    :raises ValueError: when malformed.
    """
    name, mark, version = text.rpartition("@")
    if not mark:
        raise ValueError(text)
    return AdapterRef(name, int(version))
