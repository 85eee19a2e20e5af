"""A stand-in model runner that also notes on which version of its adapter each request begins."""

from __future__ import annotations

from gevent import config

config.resolver = "block"

from typing import Any  # noqa: E402

from monsoonflow.transport.models import Request  # noqa: E402
from stand_ins import server_process  # noqa: E402
from stand_ins.commands import record  # noqa: E402


class NotingRunner(server_process.RunnerProcess):
    """The project's stand-in, with a note at the begin of each request."""

    def _order(self, data: dict[str, Any]) -> int:
        status = super()._order(data)
        if data["operation"] == "load" and status == 202:
            record("loads", adapter=data.get("adapter"), version=data.get("version"))
        return status

    def _begin_later(self, request: Request, adapter: str, version: int | None) -> bool:
        begins = super()._begin_later(request, adapter, version)
        if begins:
            name = (request.value(b"x-request-id") or b"").decode()
            record("begins", request=name, adapter=adapter, version=version)
        return begins


server_process.RunnerProcess = NotingRunner

if __name__ == "__main__":
    server_process.main()
