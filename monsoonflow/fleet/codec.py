"""Writes and reads node reports and signs of life as small JSON arrays: one datagram each."""

from __future__ import annotations

import zlib
from collections import Counter
from typing import Any, Final

import attrs
import orjson

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..quarantine.models import ServerCrash
from ..routing.budget import RetryUsage
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners
from .models import (
    CellLeaseClaim,
    Heartbeat,
    HeartbeatAck,
    NodeRecord,
    RecentVersion,
    ResidentAdapters,
    RetryHistory,
    ShortHeartbeat,
    WorkDelta,
    bounded_cores,
)

ZLIB_LEVEL: Final = 1
"""Names repeat within a report: a third of the bytes for some 20 us."""

MAX_HEARTBEAT_BYTES: Final = 1 << 20
"""A datagram that would unpack to more is no report."""

HEARTBEAT_FORMAT: Final = 4
"""First field of each report; a node of another version is not understood and is left alone."""

SHORT_HEARTBEAT_FORMAT: Final = "s1"
"""First field of each sign of life; a node of an older version leaves it alone."""

WORK_DELTA_FORMAT: Final = "w1"
"""First field of each change of work."""

HEARTBEAT_REQUEST: Final = b"?"
"""Asks a node whose sign of life was heard for its whole report."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a report's bytes."""
    return zlib.compress(_heartbeat_json(heartbeat), ZLIB_LEVEL)


def _heartbeat_json(heartbeat: Heartbeat) -> bytes:
    flags = heartbeat.is_ready | heartbeat.is_leaving << 1 | heartbeat.is_store_reachable << 2
    return orjson.dumps(
        [
            HEARTBEAT_FORMAT,
            _record_fields(heartbeat.record),
            heartbeat.sequence,
            flags,
            heartbeat.config_version,
            {str(life): _work_fields(work) for life, work in heartbeat.work_by_server.items()},
            _spent_fields(heartbeat.retry_usage_by_service),
            heartbeat.departed_servers,
            [str(named.ref) for named in heartbeat.versions],
            _claim_fields(heartbeat.claims),
            (
                None
                if heartbeat.residency is None
                else [
                    [held.life, [str(ref) for ref in held.adapters]] for held in heartbeat.residency
                ]
            ),
            [attrs.astuple(heard) for heard in heartbeat.acks],
            heartbeat.added_servers,
            heartbeat.record.cores,
            [named.age_ms for named in heartbeat.versions],
            _overloaded_runners_fields(heartbeat.overloaded_runners),
            heartbeat.lag_ms,
            heartbeat.is_active,
            _retry_history_fields(heartbeat.retry_history),
            [[ending.fingerprint, ending.life] for ending in heartbeat.crashes],
            heartbeat.quarantined_fingerprints,
        ]
    )


def encode_short_heartbeat(heartbeat: ShortHeartbeat) -> bytes:
    """Return a sign of life's bytes; it is too short for packing to gain anything."""
    flags = (
        heartbeat.is_ready
        | heartbeat.is_leaving << 1
        | heartbeat.is_store_reachable << 2
        | heartbeat.is_active << 3
    )
    card = (
        None
        if heartbeat.record is None
        else [*_record_fields(heartbeat.record), heartbeat.record.cores]
    )
    heard = [attrs.astuple(heard) for heard in heartbeat.acks]
    claims = _claim_fields(heartbeat.claims)
    spent = _spent_fields(heartbeat.retry_usage_by_service)
    named = [SHORT_HEARTBEAT_FORMAT, heartbeat.name, heartbeat.boot, heartbeat.sequence, flags]
    return orjson.dumps(
        [
            *named,
            heartbeat.config_version,
            heartbeat.lag_ms,
            claims,
            heard,
            card,
            spent,
            heartbeat.quarantined_fingerprints,
        ]
    )


def encode_work_delta(delta: WorkDelta) -> bytes:
    """Return the bytes of a change of work."""
    work = {str(life): _work_fields(work) for life, work in delta.work_by_server.items()}
    return orjson.dumps([WORK_DELTA_FORMAT, delta.name, delta.boot, delta.sequence, work])


def decode(data: bytes) -> Heartbeat | ShortHeartbeat | WorkDelta | None:
    """Return what another node tells, or ``None`` for bytes that can't be read."""
    if data[:1] != b"[":
        return _decode_heartbeat(data)
    try:
        fields = orjson.loads(data)
        read = {
            SHORT_HEARTBEAT_FORMAT: _short_heartbeat_from_fields,
            WORK_DELTA_FORMAT: _work_delta_from_fields,
        }.get(fields[0])
        return None if read is None else read(fields)
    except (ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _work_delta_from_fields(fields: list[Any]) -> WorkDelta:
    work = {ServerLife(life): _work_from_fields(work) for life, work in fields[4].items()}
    return WorkDelta(str(fields[1]), str(fields[2]), int(fields[3]), work)


def _short_heartbeat_from_fields(fields: list[Any]) -> ShortHeartbeat:
    flags = int(fields[4])
    return ShortHeartbeat(
        name=str(fields[1]),
        boot=str(fields[2]),
        sequence=int(fields[3]),
        is_ready=bool(flags & 1),
        is_leaving=bool(flags & 2),
        is_store_reachable=bool(flags & 4),
        is_active=bool(flags & 8),
        config_version=int(fields[5]),
        lag_ms=max(0, int(fields[6])),
        claims=tuple(_claim_from_fields(entry) for entry in fields[7]),
        acks=_acks_from_fields(fields[8]),
        record=None if fields[9] is None else _record_from_fields(fields[9]),
        retry_usage_by_service=_spent_from_fields(fields[10]),
        quarantined_fingerprints=tuple(map(str, _optional_field(fields, 11) or ())),
    )


def _record_from_fields(fields: list[Any]) -> NodeRecord:
    *addresses, cores = fields
    return NodeRecord(*map(str, addresses), cores=bounded_cores(cores))


def _decode_heartbeat(data: bytes) -> Heartbeat | None:
    try:
        unpacker = zlib.decompressobj()
        fields = orjson.loads(unpacker.decompress(data, MAX_HEARTBEAT_BYTES))
        # Cut within its checksum it could hold anything.
        if not unpacker.eof:
            return None
        return _heartbeat_from_fields(fields) if fields[0] == HEARTBEAT_FORMAT else None
    except (zlib.error, ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _heartbeat_from_fields(fields: list[Any]) -> Heartbeat:
    flags = int(fields[3])
    return Heartbeat(
        record=NodeRecord(*map(str, fields[1]), cores=bounded_cores(_optional_field(fields, 13))),
        sequence=int(fields[2]),
        is_ready=bool(flags & 1),
        is_leaving=bool(flags & 2),
        is_store_reachable=bool(flags & 4),
        config_version=int(fields[4]),
        work_by_server={
            ServerLife(life): _work_from_fields(work) for life, work in fields[5].items()
        },
        retry_usage_by_service=_spent_from_fields(fields[6]),
        departed_servers=tuple(map(ServerLife, fields[7])),
        versions=_versions_from_fields(fields[8], _optional_field(fields, 14)),
        claims=tuple(_claim_from_fields(entry) for entry in fields[9]),
        residency=(
            None if fields[10] is None else tuple(map(_resident_adapters_from_fields, fields[10]))
        ),
        acks=_acks_from_fields(fields[11]),
        added_servers=tuple(map(ServerLife, fields[12])),
        overloaded_runners=_overloaded_runners_from_fields(_optional_field(fields, 15)),
        lag_ms=max(0, int(_optional_field(fields, 16) or 0)),
        # A node of an older version does not tell, and is told all as one that has requests.
        is_active=_optional_field(fields, 17) is not False,
        retry_history=_retry_history_from_fields(_optional_field(fields, 18)),
        crashes=tuple(
            [
                ServerCrash(str(name), ServerLife(life))
                for name, life in _optional_field(fields, 19) or ()
            ]
        ),
        quarantined_fingerprints=tuple(map(str, _optional_field(fields, 20) or ())),
    )


def _spent_fields(retry_usage_by_service: dict[str, RetryUsage]) -> dict[str, list[int]]:
    return {
        service: [spent.first_attempts, spent.retries]
        for service, spent in retry_usage_by_service.items()
    }


def _spent_from_fields(fields: dict[str, Any]) -> dict[str, RetryUsage]:
    return {service: RetryUsage(*spent) for service, spent in fields.items()}


def _retry_history_fields(history: RetryHistory) -> list[Any]:
    hears = sorted(history.fresh_peers)
    return [history.counted_ms, hears, history.past_retries_by_service, history.ended_processes]


def _retry_history_from_fields(fields: list[Any] | None) -> RetryHistory:
    """Return what a node remembers; one of an older version remembers nothing for others."""
    if fields is None:
        return RetryHistory()
    counts_ms, hears, past_by_service, ended = fields
    past = {str(service): max(0, int(count)) for service, count in past_by_service.items()}
    return RetryHistory(int(counts_ms), frozenset(map(str, hears)), past, max(0, int(ended)))


def _claim_fields(claims: tuple[CellLeaseClaim, ...]) -> list[Any]:
    return [[c.cell, c.holder, c.epoch, c.standbys, c.counter] for c in claims]


def _acks_from_fields(entries: list[Any]) -> tuple[HeartbeatAck, ...]:
    return tuple(
        HeartbeatAck(str(name), str(boot), int(sequence)) for name, boot, sequence in entries
    )


def _overloaded_runners_fields(runners: OverloadedRunners | None) -> dict[str, Any] | None:
    if runners is None:
        return None
    return {str(life): list(ranks.items()) for life, ranks in runners.items()}


def _overloaded_runners_from_fields(fields: dict[str, Any] | None) -> OverloadedRunners | None:
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


def _work_from_fields(fields: list[Any]) -> ServerWork:
    """Return work whose counts are whole: a running total is made of them."""
    ranks = fields[4] if len(fields) > 4 else ()
    return ServerWork(
        int(fields[0]),
        int(fields[1]),
        int(fields[2]),
        Counter({str(name): int(count) for name, count in fields[3].items()}),
        {int(rank): int(tokens) for rank, tokens in ranks},
    )


def _record_fields(record: NodeRecord) -> tuple[str, ...]:
    """Return a card without what was added to it later.

    That stands at the end of a report, where a node of an older version does not look: it would
    take a card with one field more for no report.
    """
    return (
        record.name,
        record.boot,
        record.data_centre,
        record.callers_address,
        record.peer_address,
        record.report_address,
    )


def _optional_field(fields: list[Any], index: int) -> Any:
    """Return a field that a node of an older version does not tell, or ``None``."""
    return fields[index] if len(fields) > index else None


def _versions_from_fields(refs: list[Any], ages_ms: list[Any] | None) -> tuple[RecentVersion, ...]:
    """Return versions; a node of an older version tells no ages, and means just now."""
    ages = ages_ms if ages_ms is not None else [0] * len(refs)
    return tuple(
        RecentVersion(parse_adapter_ref(text), max(0, int(age_ms)))
        for text, age_ms in zip(refs, ages, strict=True)
    )


def _resident_adapters_from_fields(fields: list[Any]) -> ResidentAdapters:
    return ResidentAdapters(
        ServerLife(fields[0]), tuple(parse_adapter_ref(text) for text in fields[1])
    )


def _claim_from_fields(fields: list[Any]) -> CellLeaseClaim:
    return CellLeaseClaim(
        str(fields[0]), str(fields[1]), int(fields[2]), tuple(map(str, fields[3])), int(fields[4])
    )


def parse_adapter_ref(text: str) -> AdapterRef:
    """Return the reference that ``MODEL/NAME@VERSION`` names.

    :raises ValueError: when malformed.
    """
    name, mark, version = text.rpartition("@")
    if not mark:
        raise ValueError(text)
    return AdapterRef(name, int(version))
