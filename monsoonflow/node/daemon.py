"""Starts and stops one node's daemon."""

from __future__ import annotations

import logging
import signal
from typing import Any

import bottle
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from ..api.callers import CallerApi
from ..api.health import HealthApi
from ..api.operators import OperatorApi
from ..api.services import ServiceApi
from ..configuration.store import ConfigurationStore
from ..core.clock import MonotonicClock
from ..core.invariant import InvariantBroken
from ..helpers.logfmt import pairs
from ..helpers.wsgi import start_server
from ..rpc.client import ControlClient
from ..rpc.server import serve
from .claims import Claims
from .config_loop import ConfigLoop
from .context import NodeContext
from .dispatcher import Dispatcher
from .driver import Driver
from .grants import GrantGiver
from .health import HealthLoop
from .heartbeat import Control
from .intake import Intake
from .lease_loop import LeaseLoop
from .load_gate import LoadGate
from .reaper import Reaper
from .relay import RelayClient
from .service_health import ServiceHealth
from .settings import NodeSettings
from .stop import GracefulStop
from .takeover import Takeover

_LOGGER = logging.getLogger(__name__)
EXIT_BIND = 3
EXIT_BROKEN = 4


class Daemon:
    """One entry VM's whole daemon."""

    def __init__(self, settings: NodeSettings) -> None:
        clock = MonotonicClock()
        self._settings = settings
        self._stop_asked = Event()
        self._broken = False
        self.context = NodeContext(settings, clock)
        context = self.context
        client = ControlClient(settings["node-token"])
        store = ConfigurationStore(context.table, context.objects)
        dispatcher = Dispatcher(context)
        takeover = Takeover(context, dispatcher)
        giver = GrantGiver(clock, settings["loads-per-second"])
        relay = RelayClient(settings["node-token"], settings["silence-ms"])
        driver = Driver(context, dispatcher, relay)
        self._config = ConfigLoop(context, client, store)
        self._lease = LeaseLoop(context, client, takeover)
        self._control = Control(context, client, self._config, takeover, giver)
        health = HealthLoop(context, dispatcher)
        gate = LoadGate(context, client, dispatcher, giver)
        self._stopper = GracefulStop(context, self._control, client, self._lease)
        self._app = bottle.Bottle()
        intake = Intake(context, driver, Claims(context.table))
        for api in (
            CallerApi(context, intake),
            ServiceApi(context),
            OperatorApi(context, self._config),
            HealthApi(context),
        ):
            api.register(self._app)
        self._loops = [
            self._lease.run,
            self._config.run,
            self._config.run_plans,
            self._control.run,
            dispatcher.run,
            health.run,
            health.run_vm_list,
            ServiceHealth(context).run,
            gate.run,
            Reaper(context).run,
        ]

    def run(self) -> int:
        """Run until a signal asks to stop.

        :returns: the exit code.
        """
        gevent.signal_handler(signal.SIGTERM, self._stop_asked.set)
        gevent.signal_handler(signal.SIGINT, self._stop_asked.set)
        rpc = serve(self._settings["rpc"], self._control, self._settings["node-token"])
        if rpc is None:
            return self._not_bound("rpc")
        http = start_server(self._settings["http"], self._app)
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
        self._config.load()
        for loop in self._loops:
            gevent.spawn(self._guard, loop)
        self._stop_asked.wait()
        if self._broken:
            return EXIT_BROKEN
        return self._shut_down(http, rpc)

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

    def _shut_down(self, http: WSGIServer, rpc: Any) -> int:
        self._stopper.run()
        http.stop(timeout=2)
        rpc.stop(grace=0.5)
        return 0

    def _not_bound(self, setting: str) -> int:
        address = self._settings[setting]
        _LOGGER.error("%s", pairs(event="not_bound", setting=setting, address=address))
        return EXIT_BIND
