"""Plays case 6: a server leaves while a machine that was restarted does not reach the store."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab_2 import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    PLAIN,
    TROUBLE,
    ZONES,
    Lab,
    Link,
    ask,
    manifest,
    route,
)

NODES = 5
CUT_NODE = 5
LEAVING = "i-plain-0"
PER_S = 40.0
CUT_FOR_S = 5.5
LEAVES_AFTER_CUT_S = 3.0
SERVES_ON_S = 12.0
TRAFFIC_AFTER_LEAVING_S = 14.0
CONTACT_S = 3.0
DRAIN_S = 2.0


async def _request(lab: Lab, number: int, node: str) -> None:
    name = f"{node}.q{number:06d}"
    status, took_s, _ = await ask(
        lab.front(node), name, "/mapa/1", headers={"X-Deadline-Ms": "1500"}, wait_s=1.5
    )
    lab.note(f"request {name}: status {status} after {took_s:.3f} s")


async def _traffic(lab: Lab, until_s: float) -> None:
    rng = random.Random(6)
    tasks = []
    number = 0
    while lab.now_s() < until_s:
        node = rng.choice(list(lab.nodes))
        tasks.append(asyncio.create_task(_request(lab, number, node)))
        number += 1
        await asyncio.sleep(rng.expovariate(PER_S))
    await asyncio.gather(*tasks)


async def _play(lab: Lab, link: Link, name: str) -> tuple[float, float]:
    """Return when the last disturbance ended and when the leaving server was told to leave."""
    began_s = lab.now_s()
    leaves_s = began_s + LEAVES_AFTER_CUT_S
    traffic = asyncio.create_task(_traffic(lab, leaves_s + TRAFFIC_AFTER_LEAVING_S))
    if TROUBLE:
        link.cut()
        lab.say(f"{name} is cut off from the store")
        await asyncio.sleep(0.3)
        lab.process(name).kill()
        lab.process(name).wait()
        lab.say(f"{name} is killed")
        await asyncio.sleep(0.2)
        lab.start_node(CUT_NODE, bootstrap=False, store=link.address)
        await asyncio.to_thread(lab.await_ready, name)
        lab.say(f"{name} runs again and is ready")
    await asyncio.sleep(max(0.0, leaves_s - lab.now_s()))
    lab.command(LEAVING, "leave", serves_ms=int(SERVES_ON_S * 1_000), without_word=True)
    lab.say(f"{LEAVING} removes its entry and serves on for {SERVES_ON_S} s")
    await asyncio.sleep(max(0.0, began_s + CUT_FOR_S - lab.now_s()))
    link.heal()
    healed_s = lab.now_s() if TROUBLE else began_s
    lab.say(f"{name} reaches the store again")
    await traffic
    return healed_s, leaves_s


async def _run(lab: Lab) -> int:
    link = Link(lab.store)
    await link.start()
    name = f"front-{CUT_NODE}"

    def start() -> None:
        lab.start_store()
        lab.configure(manifest([route("mapa", "idempotent", PLAIN)]))
        for number, zone in enumerate(ZONES):
            lab.start_server(f"i-plain-{number}", PLAIN, zone, 90)
        for number in range(1, NODES + 1):
            lab.start_node(number, store=link.address if number == CUT_NODE else None)
        for node in list(lab.nodes):
            lab.await_ready(node)
        time.sleep(3.0)

    try:
        await asyncio.to_thread(start)
        healed_s, _ = await _play(lab, link, name)
    except (OSError, TimeoutError) as error:
        lab.say(f"could not run: {error}")
        return COULD_NOT_RUN
    finally:
        await link.close()
    await asyncio.sleep(1.0)
    offset_ms = time.time() * 1_000 - lab.now_s() * 1_000
    removed_ms = [
        found["at_ms"]
        for found in lab.records("store")
        if found["event"] == "removed" and found["server"] == LEAVING
    ]
    if not removed_ms:
        lab.say("could not run: the store has not removed the entry")
        return COULD_NOT_RUN
    removed_s = (removed_ms[0] - offset_ms) / 1_000
    from_s = max(removed_s + DRAIN_S, healed_s + CONTACT_S)
    late = 0
    for found in lab.records(LEAVING):
        if found["event"] != "reached":
            continue
        at_s = (found["at_ms"] - offset_ms) / 1_000
        by = found["request"].split(".")[0]
        # All other machines were in touch all the while.
        bound_s = from_s if by == name else removed_s + DRAIN_S
        lab.note(f"{at_s:.3f} s: {found['request']} reaches {LEAVING}")
        late += at_s > bound_s
    lab.say(
        f"the store removed {LEAVING} at {removed_s:.2f} s; {late} requests reached it later than "
        f"drainMs after that, sent by machines in touch"
    )
    return BROKEN if late else HELD


def main() -> int:
    """Run the case; return its exit code."""
    with Lab(Path(__file__).resolve().parent) as lab:
        return asyncio.run(_run(lab))


if __name__ == "__main__":
    sys.exit(main())
