"""Leaves out the servers that can't take a request when a server is chosen."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ..discovery.models import BackendServer
from .job import Job
from .models import NoServer
from .protocols import ServerLimiter

NO_VERSION_RETRY_AFTER_MS: Final = 400
"""When a caller may retry whose stream no server can go on with: another node may know one."""


def open_servers(
    servers: Iterable[BackendServer], limits: ServerLimiter, job: Job
) -> list[BackendServer]:
    """Return the servers that take a request now."""
    return [
        server
        for server in servers
        if server.life not in job.full_lives and limits.has_room(server.life)
    ]


def no_server_of_version(job: Job) -> NoServer:
    """Return the refusal of a stream with which no server may go on."""
    if job.only_life is not None:
        reason = f"only {job.only_life} may go on with its stream"
    else:
        reason = f"no server of software version {job.software_version} accepts requests"
    return NoServer(reason, NO_VERSION_RETRY_AFTER_MS)


def no_open_server(servers: Iterable[BackendServer], limits: ServerLimiter, job: Job) -> NoServer:
    """Return the refusal of a request for which no server has room."""
    lives = [server.life for server in servers]
    job.limits_per_s = sum(limits.rate_per_s(life) or 0.0 for life in lives)
    retry_after_ms = limits.retry_after_ms(job.service.name, lives)
    resting_count = sum(limits.is_resting(life) for life in lives)
    if not resting_count:
        return NoServer("every server is at its limit", retry_after_ms)
    return NoServer(
        f"every server is at its limit, or rests as {resting_count} of {len(lives)} do",
        retry_after_ms,
    )
