"""What every stand-in shares: serving, and misbehaving when told to."""

from __future__ import annotations

import argparse
import signal
from typing import Any

import attrs
import bottle
import gevent
import orjson
from gevent.event import Event

from monsoonflow.transport.wsgi import start_server

bottle.BaseRequest.MEMFILE_MAX = 64 << 20


@attrs.define
class Faults:
    """How a stand-in misbehaves; set over HTTP with ``POST /_faults``.

    :param down: answers 503 to everything.
    :param slow_ms: waits before each answer.
    :param lose_answers: how many changes take effect without an answer.
    :param silent: takes requests and never answers.
    :param fail_loads: share of adapter loads that fail.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    silent: bool = False
    fail_loads: float = 0.0


def reply(data: Any, status: int = 200, headers: dict[str, str] | None = None) -> Any:
    """Return a JSON answer."""
    return bottle.HTTPResponse(
        orjson.dumps(data), status, {"Content-Type": "application/json", **(headers or {})}
    )


def raw_body() -> bytes:
    """Return the request's body; the server has already undone chunked framing."""
    return bottle.request.environ["wsgi.input"].read()


def body() -> Any:
    """Return the request's decoded body."""
    raw = raw_body()
    return orjson.loads(raw) if raw else {}


class StandIn:
    """A bottle application with faults."""

    def __init__(self) -> None:
        self.app = bottle.Bottle()
        self.faults = Faults()
        self.app.post("/_faults", callback=self._set_faults)
        self.app.add_hook("before_request", self._misbehave)

    def lose_answer(self) -> None:
        """Hang instead of answering, when told to lose the answers of changes."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            gevent.sleep(3600)

    def _set_faults(self) -> Any:
        for name, value in body().items():
            setattr(self.faults, name, value)
        return reply(attrs.asdict(self.faults))

    def _misbehave(self) -> None:
        if bottle.request.path.startswith("/_"):
            return
        if self.faults.silent:
            gevent.sleep(3600)
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            raise reply({"error": {"message": "down"}}, 503)

    def run(self, listen: str) -> None:
        """Serve until SIGTERM."""
        stop = Event()
        gevent.signal_handler(signal.SIGTERM, stop.set)
        gevent.signal_handler(signal.SIGINT, stop.set)
        server = start_server(listen, self.app)
        if server is None:
            raise SystemExit(f"can't listen on {listen}")
        stop.wait()


def parser(purpose: str) -> argparse.ArgumentParser:
    """Return an argument parser with the address to listen on."""
    arguments = argparse.ArgumentParser(description=purpose)
    arguments.add_argument("--listen", required=True, help="IP:PORT")
    return arguments
