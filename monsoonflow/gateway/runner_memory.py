"""Checks the KV cache of model runners for the requests of this node."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..discovery.models import BackendServer
from ..routing.in_flight import InFlight, Ticket
from ..routing.memory_need import OutputLengths
from ..routing.memory_room import MemoryUse, exceeds_runner, has_room
from .backlog import Backlog
from .job import Job
from .models import AttemptResult, NoServer, Passed

INITIAL_RESPONSE_MS: Final = 2_000
"""How long a response is assumed to take, and to keep its memory, before any is known."""

RESPONSE_SMOOTHING: Final = 0.1
"""Weight of one response in the mean time: about the last ten count."""

MIN_RETRY_AFTER_MS: Final = 250
"""As for requests that wait for a slot: less would bring callers back before anything ended."""


HOLDER_RESERVE_SHARE: Final = 0.05
"""Share of a runner's cache that only the lease holder fills. Two nodes that see the same last gap
in old reports would both use it: of 8,000 streams of ninety nodes, 16 were preempted while another
runner had room, and 5 with this share (7 with 0.03, 1 with 0.1, which leaves 1 % more unserved)."""


@attrs.frozen(slots=True)
class MemoryDecision:
    """A decision by the KV cache of runners that concerns one request.

    :param need_tokens: KV cache that the request needs.
    :param prompt_tokens: its prompt, which is part of the need.
    :param hint_tokens: the caller's estimate of the output, as sent.
    :param margin: ratio of actual to hinted length that is planned for.
    :param capacity_tokens: KV cache of one runner.
    :param full_lives: the runners that were left out.
    :param least_used_tokens: KV cache in use at the least used of these runners; ``None`` if no
        runner was compared.
    :param has_other: whether another runner has room.
    :param config_version: of the configuration that states the capacity.
    """

    request_id: str
    need_tokens: int
    prompt_tokens: int
    hint_tokens: int | None
    margin: float
    capacity_tokens: int
    full_lives: tuple[ServerLife, ...] = ()
    least_used_tokens: int | None = None
    has_other: bool = False
    config_version: int = 0


class RunnerMemory:
    """Estimates what requests need, and tells which runners have room.

    Requests that name neither an adapter nor a hint are not checked.

    :param is_enabled: whether anything is checked; otherwise a request counts with its maximum.
    :param on_decision: called with each decision that refuses a request or leaves a runner out.
    """

    def __init__(
        self,
        backlog: Backlog,
        is_enabled: bool = True,
        on_decision: Callable[[MemoryDecision], None] = lambda _decision: None,
    ) -> None:
        self._backlog = backlog
        self._is_enabled = is_enabled
        self._on_decision = on_decision
        self._lengths = OutputLengths()
        self._response_ms = float(INITIAL_RESPONSE_MS)

    def need_tokens(self, job: Job) -> int:
        """Return the KV cache that a request is counted with, at most prompt and maximum.

        It never exceeds the cache of a runner: with a maximum of a billion tokens, one request
        would keep its runner closed for the whole fleet long after it needs little of it.
        """
        call = job.call
        if not self._is_enabled:
            return call.prompt_tokens + call.max_output_tokens
        need_tokens = call.prompt_tokens + self._lengths.expected_tokens(
            job.route.name, call.length_hint, call.max_output_tokens
        )
        capacity_tokens = self._capacity_tokens(job)
        return min(need_tokens, capacity_tokens) if capacity_tokens > 0 else need_tokens

    def slot_need_tokens(self, job: Job) -> int:
        """Return the need that the lease holder is told; 0 if it is not to check it."""
        return self.need_tokens(job) if self._capacity_tokens(job) > 0 else 0

    def is_too_large(self, job: Job) -> bool:
        """Return whether no runner can hold a request."""
        capacity_tokens = self._capacity_tokens(job)
        if not exceeds_runner(job.call.prompt_tokens, capacity_tokens):
            return False
        self._on_decision(self._decision(job, capacity_tokens))
        return True

    def with_room(
        self,
        runners: Sequence[BackendServer],
        job: Job,
        now_ms: int,
        reserve_share: float = 0.0,
    ) -> list[BackendServer]:
        """Return the runners that have room for a request.

        :param reserve_share: share of the cache that is not used.
        """
        capacity_tokens = self._capacity_tokens(job)
        if capacity_tokens <= 0:
            return list(runners)
        usable_tokens = int(capacity_tokens * (1 - reserve_share))
        need_tokens = self.need_tokens(job)
        used_by_life = {
            runner.life: self._backlog.memory_tokens_at(runner.life, now_ms) for runner in runners
        }
        fitting = [
            runner
            for runner in runners
            if has_room(need_tokens, MemoryUse(used_by_life[runner.life]), usable_tokens)
        ]
        if len(fitting) < len(runners):
            for runner in fitting:
                del used_by_life[runner.life]
            self._on_decision(
                attrs.evolve(
                    self._decision(job, capacity_tokens),
                    full_lives=tuple(used_by_life),
                    least_used_tokens=min(used_by_life.values()),
                    has_other=bool(fitting),
                )
            )
        return fitting

    def refusal(self, runners: Sequence[BackendServer], job: Job, now_ms: int) -> NoServer:
        """Return the refusal of a request for which none of the runners has room.

        A full runner frees its whole cache in the mean time of a response, so the missing part
        takes that part of the time.
        """
        capacity_tokens = max(1, self._capacity_tokens(job))
        need_tokens = self.need_tokens(job)
        least_used = min(
            (self._backlog.memory_tokens_at(runner.life, now_ms) for runner in runners), default=0
        )
        missing_share = min(1.0, (least_used + need_tokens - capacity_tokens) / capacity_tokens)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(missing_share * self._response_ms))
        return NoServer("no runner has memory for it", retry_after_ms)

    def record_progress(self, job: Job, ticket: Ticket, in_flight: InFlight) -> None:
        """Count a stream with its maximum once it is longer than estimated."""
        capacity_tokens = self._capacity_tokens(job)
        if job.splitter is None or capacity_tokens <= 0:
            return
        call = job.call
        if call.prompt_tokens + job.splitter.event_count > ticket.memory_tokens:
            in_flight.grow_memory(
                ticket, min(capacity_tokens, call.prompt_tokens + call.max_output_tokens)
            )

    def record_result(self, job: Job, result: AttemptResult, took_ms: int) -> None:
        """Learn from the length and the time of a response."""
        if job.service.engine is None:
            return
        is_complete = isinstance(result, Passed)
        if is_complete:
            self._response_ms += (took_ms - self._response_ms) * RESPONSE_SMOOTHING
        # Another node knows how much of a stream came before the part that was sent here.
        if job.splitter is None or job.call.resumes_stream:
            return
        call, route = job.call, job.route.name
        self._lengths.record(
            route, call.length_hint, call.max_output_tokens, job.splitter.event_count, is_complete
        )

    def _capacity_tokens(self, job: Job) -> int:
        """Return the size of a runner's cache; 0 if nothing is checked for the request."""
        if not self._is_enabled or job.service.engine is None:
            return 0
        if job.call.adapter is None and job.call.length_hint is None:
            return 0
        return max(0, job.service.engine.memory_tokens)

    def _decision(self, job: Job, capacity_tokens: int) -> MemoryDecision:
        call, route = job.call, job.route.name
        return MemoryDecision(
            call.request_id,
            self.need_tokens(job),
            call.prompt_tokens,
            call.length_hint,
            round(self._lengths.margin(route), 2),
            capacity_tokens,
            config_version=job.config_version,
        )
