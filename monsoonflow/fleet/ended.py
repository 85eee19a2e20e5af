"""Remembers what processes had spent when they ended."""

from __future__ import annotations

import attrs

from .models import NodeReport


@attrs.frozen(slots=True)
class _Ended:
    at_ms: int
    report: NodeReport


@attrs.define(slots=True)
class EndedProcesses:
    """The last reports of processes that have ended.

    Their requests and retries have reached servers: a new process of the same node counts from
    zero, and taken for all that the node has spent, that would free the whole budget once more.
    """

    _ended: list[_Ended] = attrs.Factory(list)

    def add(self, report: NodeReport, now_ms: int) -> None:
        """Take the last report of a process that was followed by another one."""
        self._ended.append(_Ended(now_ms, report))

    def within(self, window_ms: int, now_ms: int) -> list[NodeReport]:
        """Return the reports of those that ended within a window."""
        self._ended = [ended for ended in self._ended if ended.at_ms > now_ms - window_ms]
        return [ended.report for ended in self._ended]
