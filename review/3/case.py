"""Nodes are stopped and started in turn while requests wait for a place for their adapter.

What a consumer sees: it sends a request to a node that was told to stop, which takes it and keeps
it waiting; when the node ends, the channel closes without an answer. All places of the runners are
in use by long answers, so the request waits for a place for as long as its time allows.
The node ends 7.3 s after the SIGTERM, however many requests still wait in it, and refuses none.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness.case import LIMITS, Case, engine_service, run  # noqa: E402
from harness.consumers import Answer, Consumers, Sending  # noqa: E402
from harness.nodes import Node  # noqa: E402
from harness.servers import Runner  # noqa: E402

HOST, MODEL, SERVICE = "case.example", "base", "coldsense"
NODES, RUNNERS, PLACES = 6, 3, 6
BUSY_ADAPTERS, WAITING_ADAPTERS = 18, 4
NARRATIVES_PER_S, DIGESTS_PER_S = 45.0, 8.0
LONG_KEEPERS_SHARE = 0.3
EVENTS, EVENT_S = 57, 0.035
GRACE_S, LOST_SLACK_S = 8.0, 0.2
DIGEST_TIMEOUT_MS, NARRATIVE_TIMEOUT_MS = 10_054, 15_162
DIGESTS_AFTER_S, WARM_UP_S, GAP_S, STOPS = 4.0, 8.0, 3.0, 26


def manifest() -> dict:
    """Return the manifest: the two routes of the cold-chain customer with long and late answers."""
    common = {"host": HOST, "kind": "stream", "service": SERVICE, "sticky": True, "gapAimMs": 400}
    routes = [
        {
            **common,
            "name": "lot-narrative",
            "prefix": "/narrative/",
            "timeoutMs": NARRATIVE_TIMEOUT_MS,
            "targetLatencyMs": 809,
            "priority": 0,
            "attempts": 2,
            "resumable": True,
        },
        {
            **common,
            "name": "excursion-digest",
            "prefix": "/digest/",
            "timeoutMs": DIGEST_TIMEOUT_MS,
            "targetLatencyMs": 2_011,
            "priority": 1,
            "attempts": 2,
            "resumable": True,
        },
    ]
    services = [engine_service(SERVICE, MODEL, PLACES)]
    return {"version": 1, "routes": routes, "services": services, "limits": LIMITS}


def create_narrative(rng: random.Random) -> Sending:
    """Return a narrative for one of the busy adapters."""
    adapter = rng.randint(1, BUSY_ADAPTERS)
    return _create(rng, "/narrative/a", adapter, "200,171", NARRATIVE_TIMEOUT_MS)


def create_digest(rng: random.Random) -> Sending:
    """Return a digest for one of the adapters that are asked for now and then."""
    adapter = BUSY_ADAPTERS + rng.randint(1, WAITING_ADAPTERS)
    return _create(rng, "/digest/a", adapter, "200,24", DIGEST_TIMEOUT_MS)


def _create(
    rng: random.Random, target: str, adapter: int, tokens: str, deadline_ms: int
) -> Sending:
    headers = {
        "X-Model": f"{MODEL}/a{adapter}",
        "X-Token-Count": tokens,
        "X-Prompt-Prefix": f"5c1e07a2:100,{rng.getrandbits(32):08x}:100",
        "Content-Type": "application/json",
    }
    return Sending("POST", target, headers, b"{}", deadline_ms, once=False)


class Stops:
    """Stops nodes in turn, and checks which requests that cuts off.

    :ivar told_at: when a node was last told to stop, by its address for consumers.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self.told_at: dict[str, float] = {}

    async def run(self) -> None:
        """Stop each node in turn; start it again as soon as it has ended."""
        stops = []
        for number in range(STOPS):
            node = self._case.nodes[number % NODES]
            stops.append(asyncio.get_running_loop().create_task(self._stop(node)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)

    async def _stop(self, node: Node) -> None:
        self.told_at[node.front] = time.monotonic()
        self._case.record.note(f"SIGTERM to {node.name} at {node.front}")
        node.signal(signal.SIGTERM)
        while node.runs() and time.monotonic() < self.told_at[node.front] + GRACE_S:
            await asyncio.sleep(0.02)
        self._case.record.note(f"{node.name} has ended: {not node.runs()}")
        node.end()
        self._case.start_again(node)

    def check(self, request: str, sending: Sending, answer: Answer) -> None:
        """Check a request that has ended against the rule for planned work."""
        told_at = self.told_at.get(answer.address)
        if answer.status or told_at is None or self._case.record.runs.get(request):
            return
        is_around = told_at - GRACE_S <= answer.sent_at <= told_at + GRACE_S + 1.0
        took_s = answer.ended_at - answer.sent_at
        had_time = took_s < sending.deadline_ms / 1000
        if is_around and answer.ended_at >= told_at and took_s > LOST_SLACK_S and had_time:
            self._case.record.broken(
                "LOST",
                f"{request} was sent {answer.sent_at - told_at:.2f} s after the SIGTERM, and its"
                f" channel ended {took_s:.2f} s later without an answer ({answer.text})",
            )


async def main(case: Case) -> None:
    """Run six nodes in front of three runners and stop the nodes in turn."""
    await case.store.start()
    for number in range(1, RUNNERS + 1):
        runner = Runner(f"i-{number}", SERVICE, MODEL, PLACES, case.store, case.record)
        runner.events, runner.event_s = EVENTS, EVENT_S
        await runner.start()
    await case.start_nodes(NODES, manifest())
    await asyncio.sleep(3)
    stops = Stops(case)
    for_s = WARM_UP_S + GAP_S * STOPS + GRACE_S
    sends = []
    for name, share, keeps in (("c", 1 - LONG_KEEPERS_SHARE, 1), ("k", LONG_KEEPERS_SHARE, 3)):
        narratives, digests = (
            Consumers(
                f"{name}{kind}", HOST, case.nodes, case.record, create, seed, stops.check, keeps
            )
            for kind, seed, create in (("n", keeps, create_narrative), ("d", 9, create_digest))
        )
        sends.append(narratives.run(NARRATIVES_PER_S * share, for_s))
        sends.append(run_later(digests, DIGESTS_PER_S * share, for_s))
    if case.trouble:
        sends.append(stops_after(stops))
    await asyncio.gather(*sends)


async def run_later(consumers: Consumers, per_s: float, for_s: float) -> None:
    """Send requests once the places are in use."""
    await asyncio.sleep(DIGESTS_AFTER_S)
    await consumers.run(per_s, for_s - DIGESTS_AFTER_S)


async def stops_after(stops: Stops) -> None:
    """Begin to stop nodes when the places are in use."""
    await asyncio.sleep(WARM_UP_S)
    await stops.run()


if __name__ == "__main__":
    run(main, Path(__file__).resolve().parent)
