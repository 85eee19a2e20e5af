"""Finds at which software version a stream began, also after the node that began it has gone.

The node that receives the first event of a stream keeps the version of the server, and tells it to
a few peers. A caller that takes the stream up again comes to any node, which asks its peers.
"""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Protocol

import attrs
import orjson
from msgspec import Struct

from ..core.clock import Clock
from ..core.tasks import Flag, Tasks
from ..fleet.models import BegunStreams, Heartbeat
from ..fleet.view import FleetView
from ..gateway.models import AnyVersion, KnownVersion, UnknownVersion
from ..helpers.hashing import weight
from ..helpers.strict import read
from ..logs import events, log
from ..transport.models import Request
from ..transport.reply import Reply
from .software_versions import (
    UNSTATED_VERSION,
    Conclusion,
    NoConclusion,
    OneVersion,
    SeveralVersions,
    SoftwareVersions,
)
from .store_follower import SERVER_WATCHER_RANK_KEY
from .stream_memory import StreamMemory, stream_key
from .version_records import VersionRecords

_LOGGER = logging.getLogger(__name__)
KEEPERS: Final = 3
"""Peers that are told of a stream. Datagrams are lost occasionally, and peers end together with the
first node: with one in a hundred lost, one stream in a million is not told to any."""

ASKED_KEEPERS: Final = 6
"""Peers that are asked, in a large fleet: the keepers of the first node's view are among the first
ones of any view that differs from it by three nodes."""

ASKED_WATCHERS: Final = 2
"""Peers asked in addition in a large fleet, of those that watch the servers: only these know by
themselves that a service has had one version."""

ASK_ALL_MAX_PEERS: Final = 15
"""In a fleet with at most this many peers all are asked, since few calls are saved otherwise and
views may differ."""

BATCH_DELAY_MS: Final = 30
"""How long a message to peers is delayed, so that it names further streams. A stream that breaks
sooner than that is taken up again later: its caller has to open a connection."""

MAX_STREAMS_PER_BATCH: Final = 50
"""Bounds the processor time of one batch: to rank 1,100 nodes takes a third of a millisecond for
each stream. When a second version comes, all streams in progress are told of in several batches."""

FIND_TIMEOUT_MS: Final = 400
"""The longest search. A peer that lives answers within tens of milliseconds."""

ANY_GRACE_MS: Final = 50
"""How long a search goes on after a peer has answered that any version will do: another one may
still answer that there are several."""

STORE_TIMEOUT_MS: Final = 150
"""The part of it that is left for the store, which is asked when no peer knows more. Asked at the
same time as the peers, it would get two calls for each stream while connections are reset."""

MAX_STORE_SHARE: Final = 1 / 3
"""The most of a short search that is left for the store: most peers answer within a round trip."""

RECORD_POLL_MS: Final = 10
MAX_LINES_PER_SECOND: Final = 50
"""Lines about streams taken up again that are written each second; the metric counts all."""


class PeerLinks(Protocol):
    """Sends messages and calls to peers."""

    def tell(self, address: str, begun: BegunStreams) -> None:
        """Send a datagram."""

    def ask(self, address: str, body: bytes, timeout_ms: int) -> bytes | None:
        """Make a call; ``None`` if it was not answered."""


@dataclass(frozen=True, slots=True)
class _Found:
    """The result of a search.

    :param source: where it was found, for the log and the metric.
    :param kept_version: what a peer has kept of the stream itself, rather than concluded.
    """

    result: KnownVersion | AnyVersion | UnknownVersion
    source: str
    asked: int = 0
    answered: int = 0
    kept_version: str | None = None


class QuestionFields(Struct):
    """A question to a peer."""

    service: str
    stream: str


class AnswerFields(Struct):
    """A peer's answer; one of the fields is set.

    :param version: the version at which the stream began.
    :param only: the one version that the service has had, or an empty list if it had no server.
    :param several: the versions that the service has had within the life of a stream.
    :param reason: why the peer knows nothing.
    """

    version: str | None = None
    only: list[str] | None = None
    several: list[str] | None = None
    reason: str | None = None


@attrs.define(slots=True, eq=False)
class _Search:
    """The answers of peers to one search.

    :param pending: peers that have not answered.
    :param only: what peers answered that know of one version.
    :param evidence: all versions that peers know of.
    """

    flag: Flag
    pending: int = 0
    answered: int = 0
    version: str | None = None
    only_ms: int | None = None
    evidence: set[str] = attrs.Factory(set)
    is_record_read: bool = False

    def apply(self, answer: AnswerFields | None, now_ms: int) -> None:
        """Apply the answer of one peer."""
        self.pending -= 1
        self.answered += answer is not None
        if answer is not None and answer.version is not None:
            self.version = answer.version
        elif answer is not None and answer.several is not None:
            self.evidence.update(answer.several)
        elif answer is not None and answer.only is not None:
            self.only_ms = now_ms if self.only_ms is None else self.only_ms
            self.evidence.update(answer.only)
        self.flag.set()


class FleetStreamVersions:
    """Implements :class:`~monsoonflow.gateway.protocols.StreamVersions` for a fleet.

    :param refresh_servers: lets the list of servers be read soon.
    :param count_found: counts a search by its result.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        tasks: Tasks,
        versions: SoftwareVersions,
        records: VersionRecords,
        links: PeerLinks,
        refresh_servers: Callable[[], None],
        count_found: Callable[[str], None],
    ) -> None:
        self._view = view
        self._clock = clock
        self._tasks = tasks
        self._versions = versions
        self._records = records
        self._links = links
        self._refresh_servers = refresh_servers
        self._count_found = count_found
        self.memory = StreamMemory(versions.stream_life_ms)
        self._untold_services: set[str] = set()
        self._is_batch_scheduled = False
        self._line_second = 0
        self._lines = 0

    def record_begun(self, service: str, request_id: str, software_version: str) -> None:
        """Record the version of the server that sent a stream's first event."""
        now_ms = self._clock.now_ms()
        self.memory.add(service, stream_key(request_id), software_version, True, now_ms)
        if self._versions.may_have_several(service):
            self._schedule_batch(service)

    def handle_begun(self, begun: BegunStreams) -> None:
        """Keep the streams that a peer has begun."""
        now_ms = self._clock.now_ms()
        for service, keys_by_version in begun.streams.items():
            for version, keys in keys_by_version.items():
                self._versions.record_heard(service, version)
                for key in keys:
                    self.memory.add(service, stream_key(key), version, False, now_ms)

    def maintain(self) -> None:
        """Drop what is past, and tell peers of all streams when a second version has come.

        While there is one version they are not told of any: the streams in progress at that moment
        would be unknown to all but this node.
        """
        self.memory.drop_expired(self._clock.now_ms())
        self._versions.maintain()
        self._records.write_changed()
        for service in self.memory.untold_services():
            if self._versions.may_have_several(service):
                self._schedule_batch(service)

    def _schedule_batch(self, service: str) -> None:
        self._untold_services.add(service)
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self._tasks.spawn(self._tell_later)

    def _tell_later(self) -> None:
        try:
            while self._untold_services:
                self._tasks.sleep(BATCH_DELAY_MS)
                self._tell_batch()
        finally:
            self._is_batch_scheduled = False

    def _tell_batch(self) -> None:
        """Tell peers of some streams."""
        address_by_name = {
            heartbeat.name: heartbeat.record.report_address
            for heartbeat in self._keeping_peers()
            if not heartbeat.is_leaving
        }
        if not address_by_name:
            # A node that has just started has heard no peer yet: told to nobody, its streams would
            # count as told. They are tried again with the next maintenance.
            self._untold_services.clear()
            return
        now_ms = self._clock.now_ms()
        left = MAX_STREAMS_PER_BATCH
        streams_by_peer: dict[str, dict[str, dict[str, list[str]]]] = {}
        for service in sorted(self._untold_services):
            keys = self.memory.untold_keys(service, left)
            for key in keys:
                version = self.memory.find(service, key, now_ms)
                self.memory.mark_told(service, key)
                if version is None:
                    continue
                for name in _first_ranked(key, address_by_name, KEEPERS):
                    by_version = streams_by_peer.setdefault(name, {}).setdefault(service, {})
                    by_version.setdefault(version, []).append(key)
            left -= len(keys)
            if left <= 0:
                break
            self._untold_services.discard(service)
        for name, streams in streams_by_peer.items():
            self._links.tell(address_by_name[name], _begun_streams(self._view.name, streams))

    def _keeping_peers(self) -> list[Heartbeat]:
        """Return the live peers that keep versions of streams."""
        return [
            heartbeat
            for heartbeat in self._view.heartbeats(self._clock.now_ms())
            if heartbeat.keeps_stream_versions and not self._view.has_refused(heartbeat.name)
        ]

    def find(
        self, service: str, request_id: str, timeout_ms: int
    ) -> KnownVersion | AnyVersion | UnknownVersion:
        """Return the version at which a stream began, or why it is unknown; may ask peers."""
        started_ms = self._clock.now_ms()
        key = stream_key(request_id)
        found = self._find(service, key, min(timeout_ms, FIND_TIMEOUT_MS))
        if found.kept_version is not None:
            self.memory.add(service, key, found.kept_version, False, self._clock.now_ms())
        self._count_found(found.source)
        self._log_found(service, request_id, found, self._clock.now_ms() - started_ms)
        return found.result

    def _find(self, service: str, key: str, timeout_ms: int) -> _Found:
        now_ms = self._clock.now_ms()
        version = self.memory.find(service, key, now_ms)
        if version is not None:
            return _Found(KnownVersion(version), "own")
        conclusion = self._versions.conclude(service)
        if isinstance(conclusion, OneVersion):
            return _Found(_only_version({conclusion.software_version or UNSTATED_VERSION}), "any")
        return self._ask_peers(service, key, conclusion, now_ms + timeout_ms)

    def _ask_peers(
        self, service: str, key: str, conclusion: Conclusion, deadline_ms: int
    ) -> _Found:
        search = _Search(self._tasks.flag())
        peers = self._peers_to_ask(key)
        search.pending = len(peers)
        body = orjson.dumps({"service": service, "stream": key})
        left_ms = max(0, deadline_ms - self._clock.now_ms())
        reserved_ms = min(STORE_TIMEOUT_MS, int(left_ms * MAX_STORE_SHARE))
        if not isinstance(conclusion, NoConclusion):
            reserved_ms = 0
        peers_deadline_ms = deadline_ms - reserved_ms
        timeout_ms = max(0, peers_deadline_ms - self._clock.now_ms())
        for peer in peers:
            self._tasks.spawn(self._ask, search, peer.record.peer_address, body, timeout_ms)
        self._await_peers(search, peers_deadline_ms)
        if search.version is not None:
            known = KnownVersion(search.version)
            return _Found(known, "peer", len(peers), search.answered, search.version)
        source, result = self._conclude(search, service, deadline_ms)
        return _Found(result, source, len(peers), search.answered)

    def _ask(self, search: _Search, address: str, body: bytes, timeout_ms: int) -> None:
        answer = self._links.ask(address, body, timeout_ms)
        fields = read(answer, AnswerFields) if answer is not None else None
        search.apply(None if isinstance(fields, str) else fields, self._clock.now_ms())

    def _read_record(self, search: _Search, service: str) -> None:
        self._records.read(service)
        search.is_record_read = True

    def _await_peers(self, search: _Search, deadline_ms: int) -> None:
        """Wait for the answers that may still change the result."""
        while search.version is None and search.pending:
            until_ms = deadline_ms
            if search.only_ms is not None:
                until_ms = min(until_ms, search.only_ms + ANY_GRACE_MS)
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            search.flag.wait(left_ms)
            search.flag.clear()

    def _conclude(
        self, search: _Search, service: str, deadline_ms: int
    ) -> tuple[str, KnownVersion | AnyVersion | UnknownVersion]:
        """Return the conclusion of all that is known when no peer has kept the stream."""
        versions = self._versions.seen(service) | search.evidence
        if len(versions) > 1:
            return "unknown", UnknownVersion(_several_reason(versions))
        if search.only_ms is not None:
            return "any_of_peer", _only_version(versions)
        conclusion = self._conclude_with_record(search, service, deadline_ms)
        match conclusion:
            case OneVersion(software_version=version):
                versions |= set() if version is None else {version}
                if len(versions) <= 1:
                    return "any_of_store", _only_version(versions)
                return "unknown", UnknownVersion(_several_reason(versions))
            case SeveralVersions(versions=several):
                return "unknown", UnknownVersion(_several_reason(several))
            case NoConclusion(reason=reason):
                return "unknown", UnknownVersion(reason)

    def _conclude_with_record(self, search: _Search, service: str, deadline_ms: int) -> Conclusion:
        """Read the record in the store and the list of servers, and conclude from them."""
        self._tasks.spawn(self._read_record, search, service)
        if not self._versions.is_list_current():
            self._refresh_servers()
        while True:
            record = self._records.record_of(service)
            conclusion = self._versions.conclude_with_record(service, record)
            is_complete = search.is_record_read and self._versions.is_list_current()
            if not isinstance(conclusion, NoConclusion) or is_complete:
                return conclusion
            if self._clock.now_ms() >= deadline_ms:
                return conclusion
            self._tasks.sleep(RECORD_POLL_MS)

    def _peers_to_ask(self, key: str) -> list[Heartbeat]:
        peers = self._keeping_peers()
        if len(peers) <= ASK_ALL_MAX_PEERS:
            return peers
        by_name = {peer.name: peer for peer in peers}
        watching = [peer.name for peer in peers if peer.is_store_reachable and not peer.is_leaving]
        names = [
            *_first_ranked(key, by_name, ASKED_KEEPERS),
            *_first_ranked(SERVER_WATCHER_RANK_KEY, watching, ASKED_WATCHERS),
        ]
        return [by_name[name] for name in dict.fromkeys(names)]

    def answer(self, request: Request, reply: Reply) -> None:
        """Answer the question of a peer."""
        answer = self.answer_question(request.body)
        if answer is None:
            reply.send_whole(400, [])
        else:
            reply.send_whole(200, [], answer)

    def answer_question(self, body: bytes) -> bytes | None:
        """Return the answer to a peer's question; ``None`` if it can't be read."""
        question = read(body, QuestionFields)
        if isinstance(question, str):
            return None
        version = self.memory.find(question.service, question.stream, self._clock.now_ms())
        if version is not None:
            return orjson.dumps({"version": version})
        return orjson.dumps(_conclusion_fields(self._versions.conclude(question.service)))

    def _log_found(self, service: str, request_id: str, found: _Found, took_ms: int) -> None:
        second = self._clock.now_ms() // 1000
        if second != self._line_second:
            self._line_second, self._lines = second, 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            return
        log(
            _LOGGER,
            events.StreamVersionSearched(
                resumes=request_id,
                service=service,
                found=found.source,
                version=getattr(found.result, "software_version", None),
                cause=getattr(found.result, "reason", None),
                asked=found.asked,
                answered=found.answered,
                took_ms=took_ms,
            ),
        )


def _first_ranked(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the first names of :func:`~monsoonflow.helpers.hashing.rank`."""
    return heapq.nsmallest(count, names, key=lambda name: (-weight(key, name), name))


def _begun_streams(name: str, streams: dict[str, dict[str, list[str]]]) -> BegunStreams:
    return BegunStreams(
        name,
        {
            service: {version: tuple(keys) for version, keys in keys_by_version.items()}
            for service, keys_by_version in streams.items()
        },
    )


def _only_version(versions: Iterable[str]) -> KnownVersion | AnyVersion:
    """Return what a single version means for a stream: another one may come while it waits."""
    version = next(iter(versions), UNSTATED_VERSION)
    return AnyVersion() if version == UNSTATED_VERSION else KnownVersion(version)


def _several_reason(versions: Iterable[str]) -> str:
    return f"several versions served: {','.join(sorted(versions))}"


def _conclusion_fields(conclusion: Conclusion) -> dict[str, Any]:
    match conclusion:
        case OneVersion(software_version=version):
            return {"only": [] if version is None else [version]}
        case SeveralVersions(versions=versions):
            return {"several": list(versions)}
        case NoConclusion(reason=reason):
            return {"reason": reason}
