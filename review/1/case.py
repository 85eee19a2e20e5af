"""Runners send second answers late, while requests are turned away and sent there once more.

What a consumer sees: a stream that may run at most once runs at two runners. A runner answers 421
since the adapter was just unloaded; the node has it loaded there again and sends the request once
more on the same channel. There the second copy of the 421 comes first. It bears the id of this
request, so the node takes it for the answer, believes that nothing runs, and goes to another one.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness.case import LIMITS, Case, engine_service, run  # noqa: E402
from harness.consumers import Consumers, Sending  # noqa: E402
from harness.servers import Runner  # noqa: E402

HOST, MODEL, SERVICE = "case.example", "base", "lluvia"
NODES, RUNNERS, PLACES, ADAPTERS = 7, 5, 6, 42
PER_S, FOR_S = 130.0, 98.0
FAULTY_RUNNERS, EXTRA_SHARE = 3, 0.03
FAULTY_S, PAUSE_S = 5.0, 0.5


def manifest() -> dict:
    """Return the manifest: one route, whose streams may not be resumed."""
    route = {
        "name": "riego-alerta",
        "host": HOST,
        "prefix": "/riego/",
        "kind": "stream",
        "timeoutMs": 15_000,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "service": SERVICE,
        "attempts": 1,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 400,
    }
    services = [engine_service(SERVICE, MODEL, PLACES)]
    return {"version": 1, "routes": [route], "services": services, "limits": LIMITS}


def create(rng: random.Random) -> Sending:
    """Return a request for an adapter; a few adapters get most requests."""
    weights = [1 / (rank + 1) ** 0.5 for rank in range(ADAPTERS)]
    adapter = rng.choices(range(1, ADAPTERS + 1), weights)[0]
    own = f"{rng.getrandbits(32):08x}"
    headers = {
        "X-Model": f"{MODEL}/a{adapter}",
        "X-Token-Count": "200,24",
        "X-Prompt-Prefix": f"5c1e07a2:100,{own}:100",
        "Content-Type": "application/json",
    }
    return Sending("POST", "/riego/a", headers, b"{}", 15_000)


async def send_second_answers(runners: list[Runner]) -> None:
    """Let some runners send second answers, again and again for some seconds."""
    while True:
        for runner in runners[:FAULTY_RUNNERS]:
            runner.extra_share = EXTRA_SHARE
        await asyncio.sleep(FAULTY_S)
        for runner in runners:
            runner.extra_share = 0.0
        await asyncio.sleep(PAUSE_S)


async def main(case: Case) -> None:
    """Run three nodes in front of three runners, two of which send second answers."""
    await case.store.start()
    runners = [
        Runner(f"i-{number}", SERVICE, MODEL, PLACES, case.store, case.record)
        for number in range(1, RUNNERS + 1)
    ]
    for runner in runners:
        await runner.start()
    await case.start_nodes(NODES, manifest())
    await asyncio.sleep(3)
    trouble = asyncio.get_running_loop().create_task(send_second_answers(runners))
    if not case.trouble:
        trouble.cancel()
    consumers = Consumers("c", HOST, case.nodes, case.record, create, seed=1)
    await consumers.run(PER_S, FOR_S)
    trouble.cancel()
    case.record.check_runs(consumers.once)
    for runner in runners:
        case.record.note(
            f"{runner.server_id}: {dict(runner.statuses)}, {runner.extras_sent} second answers"
        )


if __name__ == "__main__":
    run(main, Path(__file__).resolve().parent)
