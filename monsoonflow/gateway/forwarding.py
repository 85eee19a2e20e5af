"""Forwards a request to a peer and carries the peer's answer to the caller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..core.clock import Clock
from ..core.server_life import ServerLife
from ..fleet.models import NodeRecord
from ..transport.client import ConnectionPools
from ..transport.models import BrokenAnswer
from ..transport.reply import Reply
from .attempt import Attempt
from .job import Job
from .models import AnswerTerms, AttemptResult, Chosen, Dialect, Handover, Rejected, Unsent
from .peer_forwarder import PeerForwarder
from .protocols import StreamVersions
from .request_log import RequestLog

HOP_MARGIN_MS: Final = 10
"""How much sooner than this node a peer must have answered: the time of the way back."""


class PeerForwarding:
    """Forwards requests to peers, which decide about them like about those of their own callers.

    :param pools: connections to peers.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        pools: ConnectionPools,
        forwarder: PeerForwarder,
        request_log: RequestLog,
        stream_versions: StreamVersions,
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._pools = pools
        self._forwarder = forwarder
        self._request_log = request_log
        self._stream_versions = stream_versions

    def is_path_lost(self, service: str) -> bool:
        """Return whether this node reaches no server of a service."""
        return self._forwarder.is_path_lost(service)

    def forward(self, job: Job, reply: Reply, on_send: Callable[[], None]) -> AttemptResult | None:
        """Return what came of a request at a peer; ``None`` if no peer has taken it.

        :param on_send: called just before the request is sent to a peer.
        """
        while (peer := self._next_peer(job)) is not None:
            job.tried_peers.append(peer.name)
            self._forwarder.begin(peer.name)
            try:
                result = self._send(job, reply, peer, on_send)
            finally:
                self._forwarder.end(peer.name)
            self._request_log.log_forwarded(job, peer.name, result)
            if not isinstance(result, Unsent | Rejected):
                return result
        return None

    def can_forward(self, job: Job) -> bool:
        """Return whether a peer reaches the servers that this node does not reach."""
        return (
            not job.is_forwarded
            and self.is_path_lost(job.service.name)
            and self._next_peer(job) is not None
        )

    def _next_peer(self, job: Job) -> NodeRecord | None:
        if job.only_life is not None:
            return None
        return self._forwarder.choose(job.service.name, job.config_version, job.tried_peers)

    def _send(
        self, job: Job, reply: Reply, peer: NodeRecord, on_send: Callable[[], None]
    ) -> AttemptResult:
        life = ServerLife(f"peer:{peer.name}")
        answer_terms: list[AnswerTerms] = []
        attempt = Attempt(
            self._pools,
            self._dialect,
            job.request,
            job.call,
            job.answer_deadline_ms,
            job.answer_deadline_ms,
            on_first_event=lambda: self._record_first_event(job, life, answer_terms[-1]),
            on_send=on_send,
            on_terms=answer_terms.append,
        )
        chosen = Chosen(life, peer.peer_address)
        return attempt.send(chosen, lambda: self._build_head(job), reply, job.splitter)

    def _build_head(self, job: Job) -> bytes:
        elapsed_ms = self._clock.now_ms() - job.request.arrived_ms + HOP_MARGIN_MS
        last_event_id = job.splitter.last_event_id if job.splitter is not None else None
        handover = Handover(elapsed_ms, job.possible_runs, job.software_version)
        return self._dialect.peer_head(job.request, handover, last_event_id)

    def _record_first_event(self, job: Job, life: ServerLife, terms: AnswerTerms) -> None:
        """Record the software version of the server that generates a stream for a peer.

        A peer of an earlier release states none, and goes on at any.

        :raises BrokenAnswer: if the peer does not state the version that must go on.
        """
        version = terms.software_version
        if job.software_version is not None and version != job.software_version:
            # The events are not forwarded, but the splitter counts them already: nothing may go on
            # after them.
            job.only_life = life
            raise BrokenAnswer(f"software version {version} instead of {job.software_version}")
        job.record_stream_server(life, version)
        if version is not None:
            self._stream_versions.record_begun(job.service.name, job.call.stream_id, version)
        if job.first_event_ms is None:
            job.first_event_ms = self._clock.now_ms()
