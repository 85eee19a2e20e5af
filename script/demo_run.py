"""Runs the demo: a customer is brought in under traffic while a node stops gracefully."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402
import orjson  # noqa: E402

from monsoonflow.client import Client  # noqa: E402
from monsoonflow.core.outcome import Done, tag  # noqa: E402
from monsoonflow.helpers.http import Answer, HttpClient  # noqa: E402
from script.fleet import Fleet, customer_key  # noqa: E402
from stand_ins.text import expected_text  # noqa: E402

REQUESTS = 480
SECONDS = 24.0
SHOWN = 5
NODES = ("node-a", "node-b", "node-c")


@attrs.define
class Sent:
    """One request of the demo and what came of it."""

    kind: str
    model: str
    prompt: str
    tokens: int
    repeatable: bool
    outcome: str = "pending"
    reason: str = ""
    text: str = ""
    served: str = ""
    request_id: str = ""
    first_text_ms: int | None = None


class Demo:
    """Sends the traffic and judges it by the stand-ins' own records."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(11)
        self.sent: list[Sent] = []
        self.jobs: list[gevent.Greenlet] = []
        self.stall_seconds = 0.0
        self.client_by_customer: dict[str, Client] = {}
        self.http = HttpClient(30_000)

    def say(self, text: str) -> None:
        """Show progress."""
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    def run(self) -> int:
        """Run everything and return the exit code."""
        self.began = time.monotonic()
        self._start()
        traffic = gevent.spawn(self._traffic)
        gevent.sleep(SECONDS * 0.25)
        self._bring_in_newcomer()
        gevent.sleep(SECONDS * 0.25)
        self._stop_one()
        traffic.join()
        gevent.joinall(self.jobs, timeout=60)
        self.say("all requests have ended")
        return self._report()

    def _start(self) -> None:
        fleet = self.fleet
        self.say("starting the platform's stand-ins, two runners of four slots, two servers")
        fleet.start_platform()
        for name in ("runner-1", "runner-2"):
            fleet.start_runner(name, "--slots", "4", "--max-batch", "16")
        for name in ("case-1", "case-2"):
            fleet.start_service(name)
        self.say("starting three nodes in two data centres")
        for name, data_centre in zip(NODES, ("dc-1", "dc-1", "dc-2"), strict=True):
            fleet.start_node(name, data_centre)
        fleet.await_nodes(*NODES)
        fleet.apply_runners("node-a")
        addresses = [fleet.url("case-1"), fleet.url("case-2")]
        service = {"name": "cases", "addresses": addresses, "customers": []}
        fleet.apply("node-a", {"kind": "put_service", "service": service})
        fleet.bring_in("node-a", "ledger", 20)
        fleet.await_in_force(*NODES)
        fleet.await_owned()
        self._add_client("ledger")

    def _add_client(self, customer: str) -> None:
        seeds = [self.fleet.url(name) for name in NODES]
        self.client_by_customer[customer] = Client(seeds, customer_key(customer))

    def _bring_in_newcomer(self) -> None:
        self.say("intent: bring in customer harbor with 10 adapters, under traffic")
        plan = self.fleet.bring_in("node-b", "harbor", 10)
        for step in plan["steps"]:
            print(f"          step: {step['title']}")
        version = self.fleet.await_in_force(*NODES)
        self._add_client("harbor")
        self.say(f"confirmed: version {version} is in force in all nodes")

    def _stop_one(self) -> None:
        self.stall_seconds += self._stall_of("node-b")
        self.say("stopping node-b gracefully, under traffic")
        gevent.spawn(self._await_stop)

    def _await_stop(self) -> None:
        code = self.fleet.stop("node-b")
        self.say(f"node-b has left with exit code {code}")

    def _traffic(self) -> None:
        for number in range(REQUESTS):
            customer = self.rng.choice(sorted(self.client_by_customer))
            self.jobs.append(gevent.spawn(self._one, number, customer))
            gevent.sleep(SECONDS / REQUESTS)
            if number % 120 == 119:
                self.say(f"{number + 1} requests sent")

    def _one(self, number: int, customer: str) -> None:
        if number % 8 == 0:
            self._service_call(number, customer)
            return
        adapters = 20 if customer == "ledger" else 10
        adapter = min(int(self.rng.paretovariate(0.9)) - 1, adapters - 1)
        model = f"{customer}-{adapter}" + self.rng.choice(("", "@1", "@2"))
        kind = "whole" if number % 8 == 1 else "streamed"
        sent = Sent(kind, model, f"prompt {number}", self.rng.randint(8, 40), number % 3 != 0)
        self.sent.append(sent)
        if kind == "whole":
            self._whole(sent, customer)
        else:
            self._streamed(sent, customer, number)

    def _streamed(self, sent: Sent, customer: str, number: int) -> None:
        priority = ("interactive", "normal", "batch")[number % 3]
        reply = self.client_by_customer[customer].complete(
            sent.model, sent.prompt, sent.tokens, sent.repeatable, priority=priority
        )
        sent.outcome = tag(reply.outcome)
        sent.reason = "" if isinstance(reply.outcome, Done) else reply.outcome.reason
        sent.text, sent.served = reply.text, reply.model
        sent.request_id, sent.first_text_ms = reply.request_id, reply.first_text_ms

    def _whole(self, sent: Sent, customer: str) -> None:
        """Send as any HTTP client would, not streamed; come back when told to."""
        body = {"model": sent.model, "prompt": sent.prompt, "max_tokens": sent.tokens}
        headers = {
            "Authorization": f"Bearer {customer_key(customer)}",
            "X-Monsoonflow-Repeatable": "true" if sent.repeatable else "false",
        }
        client = self.client_by_customer[customer]
        for attempt in range(8):
            targets = client.addresses(sent.model)
            if not targets:
                gevent.sleep(0.3)
                continue
            url = f"http://{targets[attempt % len(targets)].address}/v1/completions"
            result = self.http.call("POST", url, body, headers)
            if not isinstance(result, Answer):
                sent.outcome, sent.reason = "lost", result.reason
                if result.sent:
                    return
            elif result.status == 200:
                data = result.json()
                sent.outcome, sent.served = "done", data["model"]
                sent.text, sent.request_id = data["choices"][0]["text"], data["id"]
                return
            else:
                error = result.json()["error"]
                sent.outcome, sent.reason = error["outcome"], error["message"]
                if sent.outcome != "not_run":
                    return
            gevent.sleep(0.3)

    def _service_call(self, number: int, customer: str) -> None:
        sent = Sent("service", "cases", f"case-{number}", 0, repeatable=False)
        self.sent.append(sent)
        headers = {
            "Authorization": f"Bearer {customer_key(customer)}",
            "X-Case": sent.prompt,
            "X-Monsoonflow-Repeatable": "false",
        }
        for attempt in range(8):
            targets = self.client_by_customer[customer].addresses("")
            if targets:
                target = targets[attempt % len(targets)]
                url = f"http://{target.address}/services/cases/{sent.prompt}"
                result = self.http.call("POST", url, {"amount": number}, headers)
                ok = isinstance(result, Answer) and result.status == 200
                if ok:
                    sent.outcome = "done"
                    return
                if not isinstance(result, Answer) and result.sent:
                    sent.outcome, sent.reason = "lost", result.reason
                    return
                sent.outcome = "not_run"
                sent.reason = str(result)[:100]
            gevent.sleep(0.3)

    def _stall_of(self, node: str) -> float:
        result = self.http.call("GET", self.fleet.url(node) + "/metrics")
        if not isinstance(result, Answer):
            return 0.0
        return sum(
            float(line.rpartition(" ")[2])
            for line in result.body.decode().splitlines()
            if line.startswith("monsoonflow_load_stall_seconds_total")
        )

    def _report(self) -> int:
        records = [self.fleet.get(name, "/_records") for name in ("runner-1", "runner-2")]
        cases = [self.fleet.get(name, "/_runs") for name in ("case-1", "case-2")]
        figures = self._judge(records, cases)
        for name in ("node-a", "node-c"):
            self.stall_seconds += self._stall_of(name)
        first = sorted(entry.first_text_ms for entry in self.sent if entry.first_text_ms)
        steps = sum(record["steps"] for record in records)
        filled = sum(record["filled"] / record["max_batch"] for record in records)
        figures["first token, median (ms)"] = int(statistics.median(first))
        figures["first token, 95th percentile (ms)"] = first[int(len(first) * 0.95)]
        figures["load stall, all requests (s)"] = round(self.stall_seconds, 1)
        figures["adapter loads"] = sum(record["loads"] for record in records)
        figures["batch efficiency"] = round(filled / max(1, steps), 3)
        print()
        for name, value in figures.items():
            print(f"  {name:<36}{value:>10}")
        bad = ("wrong adapter", "doubled", "lost", "cut", "evicted in use")
        wrong = [name for name in bad if figures[name]]
        for entry in [entry for entry in self.sent if entry.outcome != "done"][:SHOWN]:
            print(f"  not done: {orjson.dumps(attrs.asdict(entry)).decode()[:300]}")
        print("\nnothing wrong, doubled, lost or cut" if not wrong else f"\nWRONG: {wrong}")
        return 1 if wrong else 0

    def _judge(self, records: list[Any], cases: list[Any]) -> dict[str, Any]:
        """Count outcomes, by what the stand-ins themselves recorded."""
        runs: dict[str, int] = {}
        for counts in [record["runs_by_request"] for record in records] + cases:
            for name, count in counts.items():
                runs[name] = runs.get(name, 0) + count
        done = [entry for entry in self.sent if entry.outcome == "done"]
        models = [entry for entry in done if entry.kind != "service"]
        wrong = sum(1 for entry in models if not _is_right(entry))
        doubled = sum(
            1
            for entry in self.sent
            if not entry.repeatable and runs.get(_record_name(entry), 0) > 1
        )
        missing = sum(1 for entry in done if runs.get(_record_name(entry), 0) < 1)
        return {
            "sent": len(self.sent),
            "whole": len(done) - wrong,
            "wrong adapter": wrong,
            "doubled": doubled,
            "lost": missing + sum(1 for entry in self.sent if entry.outcome in LOST),
            "cut": sum(1 for entry in self.sent if entry.outcome == "failed"),
            "evicted in use": sum(record["evicted_in_use"] for record in records),
        }


LOST = ("pending", "lost", "unknown", "not_run")


def _record_name(entry: Sent) -> str:
    return entry.prompt if entry.kind == "service" else entry.request_id


def _is_right(entry: Sent) -> bool:
    """Tell whether an answer is whole and from the adapter and version that was asked for."""
    name, _, version = entry.model.partition("@")
    asked = f"{name}@{version or 2}"
    return entry.text == expected_text(asked, entry.prompt, entry.tokens)


def main() -> int:
    """Run the demo in a temporary folder for the logs."""
    with tempfile.TemporaryDirectory(prefix="monsoonflow-demo-") as folder:
        fleet = Fleet(Path(folder), loads_per_second=6.0)
        try:
            return Demo(fleet).run()
        finally:
            fleet.close()


if __name__ == "__main__":
    sys.exit(main())
