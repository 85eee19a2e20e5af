"""Checks the servers of the plain services."""

from __future__ import annotations

from ..helpers.http import Answer, HttpClient
from .const import HEALTH_EVERY_MS
from .context import NodeContext


class ServiceHealth:
    """Learns that a plain server leaves or is gone."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._http = HttpClient(HEALTH_EVERY_MS * 4)

    def run(self) -> None:
        """Check every server until the process ends."""
        while True:
            addresses = {
                address
                for service in self._context.config.service_by_name.values()
                for address in service.addresses
            }
            jobs = [
                self._context.tasks.spawn(self._check, address) for address in sorted(addresses)
            ]
            self._context.tasks.join(jobs, 3000)
            self._context.tasks.sleep(HEALTH_EVERY_MS)

    def _check(self, address: str) -> None:
        context = self._context
        result = self._http.call("GET", f"{address}/health")
        data = result.json() if isinstance(result, Answer) and result.status == 200 else None
        if not isinstance(data, dict):
            context.leaving.record_failed_check(address)
            return
        context.leaving.record_answer(
            address, str(data.get("boot_id", "")), bool(data.get("leaving"))
        )
