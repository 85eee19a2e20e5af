"""Servers lose the store for some seconds, one after the other, and are never used again.

What a consumer sees: long after all servers are back, every request for their service is refused.
The store removes the entry of a server that is silent for three heartbeats. A node takes that for
the end of this run of the server, and goes on to do so when the same run has registered again.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness.case import LIMITS, Case, engine_service, plain_service, run  # noqa: E402
from harness.consumers import Answer, Consumers, Sending  # noqa: E402
from harness.servers import Runner, Server  # noqa: E402

HOST, MODEL, WRITER, DESK = "case.example", "base", "survey-writer", "report-desk"
NODES, SERVERS, PLACES = 3, 3, 6
SUMMARIES_PER_S, READS_PER_S = 12.0, 8.0
CUT_S, GAP_S, CALM_S = 5.0, 4.0, 75.0
STARVED_SHARE = 0.25


def manifest() -> dict:
    """Return the manifest: a route to model runners and one to a plain service."""
    common = {"host": HOST, "priority": 1, "attempts": 2}
    routes = [
        {
            **common,
            "name": "tenant-summary",
            "prefix": "/summary/",
            "kind": "stream",
            "timeoutMs": 15_000,
            "targetLatencyMs": 800,
            "service": WRITER,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 400,
        },
        {
            **common,
            "name": "report-read",
            "prefix": "/read/",
            "kind": "idempotent",
            "timeoutMs": 2_500,
            "targetLatencyMs": 200,
            "service": DESK,
        },
    ]
    services = [engine_service(WRITER, MODEL, PLACES), plain_service(DESK, 96)]
    return {"version": 1, "routes": routes, "services": services, "limits": LIMITS}


def create(rng: random.Random) -> Sending:
    """Return a summary or a read."""
    if rng.random() < READS_PER_S / (READS_PER_S + SUMMARIES_PER_S):
        return Sending("GET", f"/read/{rng.randint(1, 99)}", {}, b"", 2_500, once=False)
    headers = {
        "X-Model": f"{MODEL}/a{rng.randint(1, 6)}",
        "X-Token-Count": "200,24",
        "X-Prompt-Prefix": f"5c1e07a2:100,{rng.getrandbits(32):08x}:100",
        "Content-Type": "application/json",
    }
    return Sending("POST", "/summary/a", headers, b"{}", 15_000, once=False)


async def main(case: Case) -> None:
    """Run three nodes before three runners and three servers of the plain service."""
    await case.store.start()
    runners = [
        Runner(f"i-w{number}", WRITER, MODEL, PLACES, case.store, case.record)
        for number in range(1, SERVERS + 1)
    ]
    desk = [
        Server(f"i-d{number}", DESK, 6, 0.045, case.store, case.record)
        for number in range(1, SERVERS + 1)
    ]
    for server in (*runners, *desk):
        await server.start()
    await case.start_nodes(NODES, manifest())
    await asyncio.sleep(3)
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()

    def count(_request: str, sending: Sending, answer: Answer) -> None:
        kind = sending.target.split("/")[1]
        asked[kind] += 1
        served[kind] += answer.status == 200

    consumers = Consumers("c", HOST, case.nodes, case.record, create, seed=1, on_answer=count)
    for_s = GAP_S * (SERVERS - 1) + CUT_S + CALM_S
    cuts = [cut_later(server, GAP_S * index) for index, server in enumerate(desk)]
    if not case.trouble:
        for cut in cuts:
            cut.close()
        cuts = []
    await asyncio.gather(consumers.run(SUMMARIES_PER_S + READS_PER_S, for_s), *cuts)
    of_all = served.total() / asked.total()
    for kind, total in sorted(asked.items()):
        share = served[kind] / total
        case.record.note(f"of {kind} {share:.2f} of {total} were served, of all {of_all:.2f}")
        if share < STARVED_SHARE * of_all:
            case.record.broken("Starved", f"of {kind} {share:.2f} were served, of all {of_all:.2f}")


async def cut_later(server: Server, after_s: float) -> None:
    """Cut a server off from the store after a while."""
    await asyncio.sleep(after_s)
    await server.cut_off(CUT_S)


if __name__ == "__main__":
    run(main, Path(__file__).resolve().parent)
