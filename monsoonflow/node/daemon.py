"""Starts and stops one node's daemon."""

from __future__ import annotations

import logging
import random
import signal
from typing import Any

import bottle
import gevent
from gevent.event import Event

from ..api.callers import CallerApi
from ..api.const import MAX_HEADER_BYTES
from ..api.health import HealthApi
from ..api.http import json_refusal
from ..api.operators import OperatorApi
from ..api.services import ServiceApi
from ..backend.openai_http import OpenAiEngine
from ..core.clock import MonotonicClock
from ..core.invariant import InvariantBroken
from ..helpers.gevent_tasks import GeventTasks
from ..helpers.logfmt import pairs
from ..helpers.memory import give_back
from ..helpers.tls import TlsContexts
from ..rpc.client import ControlClient
from ..rpc.server import serve
from ..storage.object_store import HttpObjectStore
from ..storage.retrying_table import RetryingTable
from ..storage.table import HttpTable
from ..storage.vm_list import HttpVmList
from ..transport.models import MessageLimits
from ..transport.server import HttpServer
from ..transport.wsgi import start_server
from .assembly import assemble
from .context import Edges
from .relay import RelayClient
from .service_health import ServiceHealth
from .settings import NodeSettings

_LOGGER = logging.getLogger(__name__)
EXIT_BIND = 3
EXIT_BROKEN = 4
GIVE_BACK_EVERY_S = 15
RENEW_EVERY_S = 1
CALLERS_LIMITS = MessageLimits(
    head_bytes=MAX_HEADER_BYTES, body_bytes=16 << 20, head_ms=10_000, idle_ms=60_000
)
"""Bodies are read whole before they are looked at: 16 MiB takes any call of a plain service, and a
few of them at once stay within a small VM's memory."""

LAST_ANSWERS_MS = 2_000
"""How long answers that are being written may take after the last request has ended."""


class Daemon:
    """One entry VM's whole daemon."""

    def __init__(self, settings: NodeSettings, tls: TlsContexts | None = None) -> None:
        clock = MonotonicClock()
        self._tls = tls
        credentials = None if tls is None else tls.channel_credentials()
        tasks = GeventTasks()
        self._settings = settings
        self._stop_asked = Event()
        self._broken = False
        silence_ms = settings["silence-ms"]
        edges = Edges(
            table=RetryingTable(HttpTable(settings["table"]), tasks),
            objects=HttpObjectStore(settings["objects"]),
            vms=HttpVmList(settings["vms"]),
            control=ControlClient(settings["node-token"], credentials),
            relay=RelayClient(settings["node-token"], silence_ms, tls and tls.client),
            open_engine=lambda address: OpenAiEngine(address, silence_ms),
        )
        self._node = assemble(settings, clock, tasks, edges, random.Random())
        self.context = self._node.context
        self._app = bottle.Bottle()
        for api in (
            CallerApi(self.context, self._node.intake),
            ServiceApi(self.context),
            OperatorApi(self.context, self._node.config_loop),
            HealthApi(self.context),
        ):
            api.register(self._app)

    def run(self) -> int:
        """Run until a signal asks to stop.

        :returns: the exit code.
        """
        gevent.signal_handler(signal.SIGTERM, self._stop_asked.set)
        gevent.signal_handler(signal.SIGINT, self._stop_asked.set)
        credentials = None if self._tls is None else self._tls.server_credentials()
        token = self._settings["node-token"]
        rpc = serve(self._settings["rpc"], self._node.control, token, credentials)
        if rpc is None:
            return self._not_bound("rpc")
        server_tls = self._tls and self._tls.server
        http = start_server(
            self._settings["http"], self._app, server_tls, CALLERS_LIMITS, json_refusal
        )
        if http is None:
            return self._not_bound("http")
        _LOGGER.info(
            "%s",
            pairs(
                event="node_started",
                node=self._settings["node"],
                http=self._settings["http"],
                rpc=self._settings["rpc"],
                incarnation=self.context.me.incarnation,
            ),
        )
        self._node.config_loop.load()
        for loop in (*self._node.loops, ServiceHealth(self.context).run):
            gevent.spawn(self._guard, loop)
        gevent.spawn(self._guard, self._give_back_memory)
        gevent.spawn(self._guard, self._renew_certificates)
        self._stop_asked.wait()
        if self._broken:
            return EXIT_BROKEN
        return self._shut_down(http, rpc)

    def _give_back_memory(self) -> None:
        while True:
            gevent.sleep(GIVE_BACK_EVERY_S)
            give_back()

    def _renew_certificates(self) -> None:
        while self._tls is not None:
            gevent.sleep(RENEW_EVERY_S)
            if self._tls.reload_if_changed():
                _LOGGER.info("%s", pairs(event="certificates_reloaded"))
        gevent.sleep(3600)

    def _guard(self, loop: Any) -> None:
        """Run a loop; a broken invariant stops the process, any other error restarts the loop.

        A loop that died unseen would leave the node half alive: heartbeats would go on while, say,
        no lease was renewed.
        """
        while True:
            try:
                loop()
            except InvariantBroken as broken:
                _LOGGER.critical("%s", pairs(event="invariant_broken", rule=str(broken)))
                self._broken = True
                self._stop_asked.set()
                return
            except Exception:
                _LOGGER.exception("%s", pairs(event="loop_failed", loop=loop.__qualname__))
                gevent.sleep(0.5)

    def _shut_down(self, http: HttpServer, rpc: Any) -> int:
        self._node.stopper.run()
        http.stop_listening()
        http.wait_until_idle(LAST_ANSWERS_MS)
        rpc.stop(grace=0.5)
        return 0

    def _not_bound(self, setting: str) -> int:
        address = self._settings[setting]
        _LOGGER.error("%s", pairs(event="not_bound", setting=setting, address=address))
        return EXIT_BIND
