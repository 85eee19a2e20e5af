"""Puts a node's parts together; the daemon and the randomised runs use the same ones."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from ..configuration.store import ConfigurationStore
from ..core.clock import Clock
from ..core.tasks import Tasks
from .claims import Claims
from .config_loop import ConfigLoop
from .context import Edges, NodeContext
from .dispatcher import Dispatcher
from .driver import Driver
from .grants import GrantGiver
from .health import HealthLoop
from .heartbeat import Control
from .intake import Intake
from .lease_loop import LeaseLoop
from .load_gate import LoadGate
from .reaper import Reaper
from .settings import NodeSettings
from .spread_loop import SpreadLoop
from .stop import GracefulStop
from .takeover import Takeover


@attrs.frozen(slots=True)
class Node:
    """One node's parts.

    :param loops: what has to run, each in a task of its own, for as long as the node lives.
    """

    context: NodeContext
    config_loop: ConfigLoop
    control: Control
    intake: Intake
    stopper: GracefulStop
    loops: tuple[Callable[[], None], ...]


def assemble(
    settings: NodeSettings, clock: Clock, tasks: Tasks, edges: Edges, rng: random.Random
) -> Node:
    """Return a node that is ready to run.

    :param edges: everything outside the node.
    """
    context = NodeContext(settings, clock, tasks, edges, rng)
    dispatcher = Dispatcher(context)
    takeover = Takeover(context, dispatcher)
    giver = GrantGiver(clock, settings["loads-per-second"])
    driver = Driver(context, dispatcher, edges.relay)
    store = ConfigurationStore(context.table, context.objects)
    config_loop = ConfigLoop(context, edges.control, store)
    lease_loop = LeaseLoop(context, edges.control, takeover)
    spread = SpreadLoop(context)
    control = Control(context, edges.control, config_loop, takeover, giver, spread)
    gate = LoadGate(context, edges.control, dispatcher, giver)
    health = HealthLoop(context, dispatcher)
    return Node(
        context=context,
        config_loop=config_loop,
        control=control,
        intake=Intake(context, driver, Claims(context.table, tasks)),
        stopper=GracefulStop(context, control, edges.control, lease_loop, dispatcher),
        loops=(
            lease_loop.run,
            lease_loop.run_promises,
            config_loop.run,
            config_loop.run_plans,
            control.run,
            dispatcher.run,
            health.run,
            health.run_vm_list,
            gate.run,
            spread.run,
            Reaper(context).run,
        ),
    )
