"""Encodes and decodes the messages between nodes as small JSON arrays, one datagram each."""

from __future__ import annotations

import zlib
from collections import Counter
from functools import lru_cache
from typing import Any, Final

import attrs
import orjson

from ..core.adapter import AdapterRef
from ..core.server_life import ServerLife
from ..discovery.models import DepartedServer
from ..quarantine.models import PartsCrash, ServerCrash, SoundPart
from ..routing.budget import RetryUsage
from ..routing.in_flight import ServerWork
from ..routing.overload import OverloadedRunners
from ..routing.quota import QuotaUsage
from .models import (
    AnnouncedLimit,
    AnnouncedRejection,
    BegunStreams,
    CellLeaseClaim,
    Heartbeat,
    HeartbeatAck,
    NodeRecord,
    RecentVersion,
    ResidentAdapters,
    RetryHistory,
    ShortHeartbeat,
    UsageDelta,
    WorkDelta,
    bounded_cores,
)
from .pace_fields import pace_fields, read_paces

ZLIB_LEVEL: Final = 1
"""Names repeat within a heartbeat: level 1 reduces it to a third of its bytes in about 20 us."""

MAX_HEARTBEAT_BYTES: Final = 1 << 20
"""A datagram that decompresses to more is rejected."""

HEARTBEAT_FORMAT: Final = 4
"""First field of each heartbeat; a heartbeat of another format is ignored."""

SHORT_HEARTBEAT_FORMAT: Final = "s1"
"""First field of each short heartbeat; a node of an older version ignores such messages."""

WORK_DELTA_FORMAT: Final = "w1"
"""First field of each work delta."""

USAGE_DELTA_FORMAT: Final = "q1"
"""First field of each usage delta."""

BEGUN_STREAMS_FORMAT: Final = "b1"
"""First field of each message with the software versions of begun streams."""

MAX_CACHED_REFS: Final = 1_024
"""Decoded adapter versions that are kept for the next heartbeats. A lease holder announces the same
few hundred again every second; decoding them was three quarters of the time for its heartbeat."""

MAX_CACHED_REF_LENGTH: Final = 256
"""Longer texts are no valid names; a peer that sends many must not fill the memory."""

MAX_REQUEST_MEMORY_TOKENS: Final = 1 << 20
"""KV cache that one request may need at most: several times the largest context of a model."""

HEARTBEAT_REQUEST: Final = b"?"
"""Requests a full heartbeat from a node of which only a short one was received."""


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the bytes of a heartbeat."""
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
            _retry_usage_fields(heartbeat.retry_usage_by_service),
            [departed.life for departed in heartbeat.departed_servers],
            [str(version.ref) for version in heartbeat.versions],
            _claim_fields(heartbeat.claims),
            (
                None
                if heartbeat.residency is None
                else [
                    [resident.life, [str(ref) for ref in resident.adapters]]
                    for resident in heartbeat.residency
                ]
            ),
            [attrs.astuple(ack) for ack in heartbeat.acks],
            heartbeat.added_servers,
            heartbeat.record.cores,
            [version.age_ms for version in heartbeat.versions],
            _overloaded_runners_fields(heartbeat.overloaded_runners),
            heartbeat.lag_ms,
            heartbeat.is_active,
            _retry_history_fields(heartbeat.retry_history),
            [[crash.fingerprint, crash.life] for crash in heartbeat.crashes],
            heartbeat.quarantined_fingerprints,
            _quota_usage_fields(heartbeat.quota_usage_by_customer),
            _limit_fields(heartbeat.limit_by_server),
            _quota_usage_fields(heartbeat.usage_by_limited_server),
            heartbeat.unreachable_services,
            _rejection_fields(heartbeat.rejections_by_brittle_server),
            heartbeat.keeps_stream_versions,
            [
                [crash.fingerprint, crash.life, crash.known_lives_by_part]
                for crash in heartbeat.parts_crashes
            ],
            [[sound.part, sound.lives] for sound in heartbeat.sound_parts],
            pace_fields(heartbeat.pace_by_server),
            heartbeat.runner_ms_by_customer,
            heartbeat.store_era,
            [[departed.is_final, departed.age_ms] for departed in heartbeat.departed_servers],
        ]
    )


def encode_short_heartbeat(heartbeat: ShortHeartbeat) -> bytes:
    """Return the bytes of a short heartbeat, uncompressed: it is too short to gain from it."""
    flags = (
        heartbeat.is_ready
        | heartbeat.is_leaving << 1
        | heartbeat.is_store_reachable << 2
        | heartbeat.is_active << 3
    )
    record = (
        None
        if heartbeat.record is None
        else [*_record_fields(heartbeat.record), heartbeat.record.cores]
    )
    acks = [attrs.astuple(ack) for ack in heartbeat.acks]
    claims = _claim_fields(heartbeat.claims)
    usage = _retry_usage_fields(heartbeat.retry_usage_by_service)
    head = [SHORT_HEARTBEAT_FORMAT, heartbeat.name, heartbeat.boot, heartbeat.sequence, flags]
    return orjson.dumps(
        [
            *head,
            heartbeat.config_version,
            heartbeat.lag_ms,
            claims,
            acks,
            record,
            usage,
            heartbeat.quarantined_fingerprints,
            heartbeat.unreachable_services,
            heartbeat.keeps_stream_versions,
            heartbeat.store_era,
        ]
    )


def encode_work_delta(delta: WorkDelta) -> bytes:
    """Return the bytes of a work delta."""
    work = {str(life): _work_fields(work) for life, work in delta.work_by_server.items()}
    return orjson.dumps([WORK_DELTA_FORMAT, delta.name, delta.boot, delta.sequence, work])


def encode_usage_delta(delta: UsageDelta) -> bytes:
    """Return the bytes of a usage delta."""
    fields = [
        USAGE_DELTA_FORMAT,
        delta.name,
        delta.boot,
        _quota_usage_fields(delta.usage_by_customer),
        _limit_fields(delta.limit_by_server),
        _quota_usage_fields(delta.usage_by_limited_server),
        _rejection_fields(delta.rejections_by_brittle_server),
    ]
    return orjson.dumps(fields)


def encode_begun_streams(begun: BegunStreams) -> bytes:
    """Return the bytes of a message with begun streams."""
    return orjson.dumps([BEGUN_STREAMS_FORMAT, begun.name, begun.streams])


def decode(
    data: bytes,
) -> Heartbeat | ShortHeartbeat | WorkDelta | UsageDelta | BegunStreams | None:
    """Return the message of a peer, or ``None`` for bytes that can't be decoded."""
    if data[:1] != b"[":
        return _decode_heartbeat(data)
    try:
        fields = orjson.loads(data)
        from_fields = {
            SHORT_HEARTBEAT_FORMAT: _short_heartbeat_from_fields,
            WORK_DELTA_FORMAT: _work_delta_from_fields,
            USAGE_DELTA_FORMAT: _usage_delta_from_fields,
            BEGUN_STREAMS_FORMAT: _begun_streams_from_fields,
        }.get(fields[0])
        return None if from_fields is None else from_fields(fields)
    except (ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _work_delta_from_fields(fields: list[Any]) -> WorkDelta:
    work = {ServerLife(life): _work_from_fields(work) for life, work in fields[4].items()}
    return WorkDelta(str(fields[1]), str(fields[2]), int(fields[3]), work)


def _usage_delta_from_fields(fields: list[Any]) -> UsageDelta:
    return UsageDelta(
        str(fields[1]),
        str(fields[2]),
        _quota_usage_from_fields(fields[3]),
        _limits_from_fields(_optional_field(fields, 4) or {}),
        _quota_usage_from_fields(_optional_field(fields, 5) or {}),
        _rejections_from_fields(_optional_field(fields, 6) or {}),
    )


def _begun_streams_from_fields(fields: list[Any]) -> BegunStreams:
    streams = {
        str(service): {
            str(version): tuple(map(str, keys)) for version, keys in keys_by_version.items()
        }
        for service, keys_by_version in fields[2].items()
    }
    return BegunStreams(str(fields[1]), streams)


def _quota_usage_fields(usage_by_key: dict[str, QuotaUsage]) -> dict[str, list[int]]:
    return {
        str(key): [usage.total, usage.recent, usage.demand, usage.left]
        for key, usage in usage_by_key.items()
    }


def _quota_usage_from_fields(fields: dict[str, Any]) -> dict[str, QuotaUsage]:
    return {str(key): QuotaUsage(*map(int, usage)) for key, usage in fields.items()}


def _limit_fields(limit_by_server: dict[ServerLife, AnnouncedLimit]) -> dict[str, list[Any]]:
    return {str(life): [limit.rate_per_s, limit.age_ms] for life, limit in limit_by_server.items()}


def _limits_from_fields(fields: dict[str, Any]) -> dict[ServerLife, AnnouncedLimit]:
    return {
        ServerLife(life): AnnouncedLimit(
            None if rate_per_s is None else float(rate_per_s), max(0, int(age_ms))
        )
        for life, (rate_per_s, age_ms) in fields.items()
    }


def _rejection_fields(
    rejections: dict[ServerLife, AnnouncedRejection],
) -> dict[str, list[int]]:
    return {
        str(life): [rejection.requests, rejection.age_ms] for life, rejection in rejections.items()
    }


def _rejections_from_fields(fields: dict[str, Any]) -> dict[ServerLife, AnnouncedRejection]:
    return {
        ServerLife(life): AnnouncedRejection(max(0, int(requests)), max(0, int(age_ms)))
        for life, (requests, age_ms) in fields.items()
    }


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
        retry_usage_by_service=_retry_usage_from_fields(fields[10]),
        quarantined_fingerprints=tuple(map(str, _optional_field(fields, 11) or ())),
        unreachable_services=_names_from_fields(_optional_field(fields, 12)),
        keeps_stream_versions=_optional_field(fields, 13) is True,
        store_era=max(0, int(_optional_field(fields, 14) or 0)),
    )


def _record_from_fields(fields: list[Any]) -> NodeRecord:
    *texts, cores = fields
    return NodeRecord(*map(str, texts), cores=bounded_cores(cores))


def _decode_heartbeat(data: bytes) -> Heartbeat | None:
    try:
        decompressor = zlib.decompressobj()
        fields = orjson.loads(decompressor.decompress(data, MAX_HEARTBEAT_BYTES))
        # The checksum of a datagram that was cut off within it has not been verified.
        if not decompressor.eof:
            return None
        return _heartbeat_from_fields(fields) if fields[0] == HEARTBEAT_FORMAT else None
    except (zlib.error, ValueError, TypeError, KeyError, IndexError, AttributeError):
        return None


def _heartbeat_from_fields(fields: list[Any]) -> Heartbeat:
    flags = int(fields[3])
    pace_by_server, has_malformed_paces = read_paces(_optional_field(fields, 29))
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
        retry_usage_by_service=_retry_usage_from_fields(fields[6]),
        departed_servers=_departed_servers_from_fields(fields[7], _optional_field(fields, 32)),
        versions=_versions_from_fields(fields[8], _optional_field(fields, 14)),
        claims=tuple(_claim_from_fields(entry) for entry in fields[9]),
        residency=(
            None if fields[10] is None else tuple(map(_resident_adapters_from_fields, fields[10]))
        ),
        acks=_acks_from_fields(fields[11]),
        added_servers=tuple(map(ServerLife, fields[12])),
        overloaded_runners=_overloaded_runners_from_fields(_optional_field(fields, 15)),
        lag_ms=max(0, int(_optional_field(fields, 16) or 0)),
        # A node of an older version does not send this; it is treated like one with requests.
        is_active=_optional_field(fields, 17) is not False,
        retry_history=_retry_history_from_fields(_optional_field(fields, 18)),
        crashes=tuple(
            [
                ServerCrash(str(name), ServerLife(life))
                for name, life in _optional_field(fields, 19) or ()
            ]
        ),
        quarantined_fingerprints=tuple(map(str, _optional_field(fields, 20) or ())),
        quota_usage_by_customer=_quota_usage_from_fields(_optional_field(fields, 21) or {}),
        limit_by_server=_limits_from_fields(_optional_field(fields, 22) or {}),
        usage_by_limited_server=_quota_usage_from_fields(_optional_field(fields, 23) or {}),
        unreachable_services=_names_from_fields(_optional_field(fields, 24)),
        rejections_by_brittle_server=_rejections_from_fields(_optional_field(fields, 25) or {}),
        keeps_stream_versions=_optional_field(fields, 26) is True,
        parts_crashes=tuple(map(_parts_crash_from_fields, _optional_field(fields, 27) or ())),
        sound_parts=tuple(
            SoundPart(str(part), _lives_from_fields(lives))
            for part, lives in _optional_field(fields, 28) or ()
        ),
        pace_by_server=pace_by_server,
        has_malformed_paces=has_malformed_paces,
        runner_ms_by_customer=_optional_field(fields, 30),
        store_era=max(0, int(_optional_field(fields, 31) or 0)),
    )


def _departed_servers_from_fields(
    lives: list[Any], evidence: list[Any] | None
) -> tuple[DepartedServer, ...]:
    """Return departed servers.

    :param evidence: whether each departure is final, and its age; a node of an earlier release
        sends none.
    """
    if evidence is None:
        return tuple([DepartedServer(ServerLife(life)) for life in lives])
    return tuple(
        [
            DepartedServer(ServerLife(life), bool(is_final), max(0, int(age_ms)))
            for life, (is_final, age_ms) in zip(lives, evidence, strict=True)
        ]
    )


def _parts_crash_from_fields(fields: list[Any]) -> PartsCrash:
    fingerprint, life, known = fields
    known_lives_by_part = {str(part): _lives_from_fields(lives) for part, lives in known.items()}
    return PartsCrash(str(fingerprint), ServerLife(life), known_lives_by_part)


def _lives_from_fields(lives: list[Any]) -> tuple[ServerLife, ...]:
    return tuple(ServerLife(life) for life in lives)


def _retry_usage_fields(retry_usage_by_service: dict[str, RetryUsage]) -> dict[str, list[int]]:
    return {
        service: [usage.first_attempts, usage.retries]
        for service, usage in retry_usage_by_service.items()
    }


def _retry_usage_from_fields(fields: dict[str, Any]) -> dict[str, RetryUsage]:
    return {service: RetryUsage(*usage) for service, usage in fields.items()}


def _retry_history_fields(history: RetryHistory) -> list[Any]:
    peers = sorted(history.fresh_peers)
    return [history.counted_ms, peers, history.past_retries_by_service, history.ended_processes]


def _retry_history_from_fields(fields: list[Any] | None) -> RetryHistory:
    """Return the history that a node announces; an older version announces none."""
    if fields is None:
        return RetryHistory()
    counted_ms, peers, past_by_service, ended = fields
    past = {str(service): max(0, int(count)) for service, count in past_by_service.items()}
    return RetryHistory(int(counted_ms), frozenset(map(str, peers)), past, max(0, int(ended)))


def _claim_fields(claims: tuple[CellLeaseClaim, ...]) -> list[Any]:
    return [
        [claim.cell, claim.holder, claim.epoch, claim.standbys, claim.counter] for claim in claims
    ]


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
    """Return work in progress; counts must be numbers, as running totals are computed from them."""
    ranks = fields[4] if len(fields) > 4 else ()
    return ServerWork(
        int(fields[0]),
        int(fields[1]),
        _plausible_memory_tokens(int(fields[2]), int(fields[0])),
        Counter({str(name): int(count) for name, count in fields[3].items()}),
        {int(rank): int(tokens) for rank, tokens in ranks},
    )


def _plausible_memory_tokens(tokens: int, requests: int) -> int:
    """Return the KV cache that a peer's requests need; 0 if it can't be right.

    A single wrong value would close a runner for the whole fleet.
    """
    return tokens if 0 <= tokens <= max(0, requests) * MAX_REQUEST_MEMORY_TOKENS else 0


def _record_fields(record: NodeRecord) -> tuple[str, ...]:
    """Return the fields that a node record has had from the first version on.

    Later ones are at the end of a heartbeat, where a node of an older version ignores them. It
    would reject a heartbeat whose record has an additional field.
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
    """Return a field that a node of an older version does not send, or ``None``."""
    return fields[index] if len(fields) > index else None


def _names_from_fields(names: list[Any] | None) -> tuple[str, ...] | None:
    """Return names; ``None`` from a node of an older version, which does not send them."""
    return None if names is None else tuple(map(str, names))


def _versions_from_fields(refs: list[Any], ages_ms: list[Any] | None) -> tuple[RecentVersion, ...]:
    """Return versions; a node of an older version sends no ages, and each age counts as zero."""
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
    """Return the adapter version that a text of the form ``MODEL/NAME@VERSION`` refers to.

    :raises ValueError: when malformed.
    """
    is_cached = len(text) <= MAX_CACHED_REF_LENGTH
    return _cached_adapter_ref(text) if is_cached else _decode_adapter_ref(text)


def _decode_adapter_ref(text: str) -> AdapterRef:
    name, separator, version = text.rpartition("@")
    if not separator:
        raise ValueError(text)
    return AdapterRef(name, int(version))


_cached_adapter_ref = lru_cache(MAX_CACHED_REFS)(_decode_adapter_ref)
