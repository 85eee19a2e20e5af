"""Stands in for a model runner: slots, batched steps, resumable streams, fencing."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import hashlib  # noqa: E402
import random  # noqa: E402
import secrets  # noqa: E402
import time  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from typing import Any  # noqa: E402

import attrs  # noqa: E402
import bottle  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from monsoonflow.helpers import sse  # noqa: E402
from monsoonflow.helpers.http import Answer, HttpClient  # noqa: E402
from stand_ins.base import StandIn, body, parser, reply  # noqa: E402
from stand_ins.text import token  # noqa: E402

KEEP_ALIVE_S = 0.5


@attrs.define
class Run:
    """One run of one request."""

    run_id: str
    model: str
    prompt: str
    total: int
    tokens: list[str] = attrs.field(factory=list)
    digest: Any = attrs.field(factory=hashlib.sha256)
    cancelled: bool = False
    changed: Event = attrs.field(factory=Event)

    @property
    def done(self) -> bool:
        """Tell whether the run has produced everything."""
        return len(self.tokens) >= self.total


class RunnerStandIn(StandIn):
    """An engine that batches continuously; keeps records of what it ran."""

    def __init__(self, options: Any) -> None:
        super().__init__()
        self.options = options
        self.weights = HttpClient(60_000)
        self.fence = 0
        self.leaving = False
        self.rng = random.Random(7)
        self.runs_by_request: dict[str, int] = {}
        self.steps = 0
        self.filled = 0
        self.loads = 0
        self.evicted_in_use = 0
        self.cut_next = 0
        self.wrong_echo = 0
        self.reports: list[tuple[float, dict[str, str]]] = []
        self.boot()
        self._routes()
        gevent.spawn(self.step_forever)

    def boot(self) -> None:
        """Start empty."""
        self.boot_id = secrets.token_hex(4)
        self.resident: set[str] = set()
        self.run_by_id: dict[str, Run] = {}
        self.tombstones: set[str] = set()
        self.reports = []
        self.cached: list[dict[str, Any]] = []
        self.cache_number = 0
        self.role = "both"

    def _routes(self) -> None:
        app = self.app
        app.post("/v1/completions", callback=self.complete)
        app.get("/v1/requests/<run_id>/stream", callback=self.resume)
        app.post("/v1/requests/<run_id>/cancel", callback=self.cancel)
        app.post("/v1/load_lora_adapter", callback=self.load)
        app.post("/v1/unload_lora_adapter", callback=self.unload)
        app.post("/v1/fence", callback=self.set_fence)
        app.get("/v1/load", callback=self.state)
        app.get("/v1/requests/<run_id>/kv", callback=self.export_kv)
        app.put("/v1/requests/<run_id>/kv", callback=self.import_kv)
        app.post("/v1/role", callback=self.set_role)
        app.get("/v1/cache_events", callback=self.cache_events)
        app.get("/v1/models", callback=lambda: reply({"data": [{"id": n} for n in self.resident]}))
        app.get("/health", callback=lambda: reply({"boot_id": self.boot_id}))
        app.get("/_records", callback=self.records)
        app.post("/_do", callback=self.do)

    def do(self) -> Any:
        """Restart empty, leave, cut the next streams or answer under a wrong name."""
        asked = body()
        if asked.get("restart"):
            for run in self.run_by_id.values():
                run.cancelled = True
                run.changed.set()
            self.boot()
        self.leaving = asked.get("leave", self.leaving)
        self.cut_next = asked.get("cut_next", self.cut_next)
        self.wrong_echo = asked.get("wrong_echo", self.wrong_echo)
        return reply({})

    def records(self) -> Any:
        """Return what was really run."""
        return reply(
            {
                "runs_by_request": self.runs_by_request,
                "steps": self.steps,
                "filled": self.filled,
                "max_batch": self.options.max_batch,
                "loads": self.loads,
                "evicted_in_use": self.evicted_in_use,
            }
        )

    def active(self) -> list[Run]:
        """Return the runs that the next step may serve."""
        return [run for run in self.run_by_id.values() if not run.done and not run.cancelled]

    def step_forever(self) -> None:
        """Produce one token for each run of the batch, step by step."""
        next_at = time.monotonic()
        while True:
            next_at = max(next_at + self.options.step_ms / 1000, time.monotonic())
            gevent.sleep(next_at - time.monotonic())
            batch = self.active()[: self.options.max_batch]
            if not batch or self.faults.silent:
                continue
            self.steps += 1
            self.filled += len(batch)
            for run in batch:
                text = token(run.model, run.prompt, len(run.tokens))
                run.tokens.append(text)
                run.digest.update(text.encode())
                run.changed.set()

    def complete(self) -> Any:
        """Begin a run."""
        if not self._fenced():
            return self._refuse("stale fencing number", 409)
        data = body()
        model = data["model"]
        run_id = bottle.request.get_header("X-Request-Id", secrets.token_hex(8))
        if model not in self.resident:
            return self._refuse("adapter is not loaded", 404)
        if run_id in self.tombstones:
            return self._refuse("the run was cancelled", 409)
        if run_id not in self.run_by_id:
            request_id = run_id.split(".")[0]
            self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1
            self.run_by_id[run_id] = Run(run_id, model, data["prompt"], data["max_tokens"])
            self._note_cached(data["prompt"])
        self.lose_answer()
        return self._stream(self.run_by_id[run_id], 0)

    def resume(self, run_id: str) -> Any:
        """Go on with a run's stream."""
        run = self.run_by_id.get(run_id)
        if run is None:
            return reply({"error": {"message": "unknown run", "outcome": "failed"}}, 404)
        return self._stream(run, int(bottle.request.get_header("Last-Event-ID", "-1")) + 1)

    def cancel(self, run_id: str) -> Any:
        """Stop a run, now or when it arrives."""
        self.tombstones.add(run_id)
        run = self.run_by_id.get(run_id)
        if run is not None:
            run.cancelled = True
            run.changed.set()
        return reply({})

    def load(self) -> Any:
        """Load an adapter."""
        if not self._fenced():
            return self._refuse("stale fencing number", 409)
        name = body()["lora_name"]
        if name in self.resident:
            return reply({})
        if len(self.resident) >= self.options.slots:
            return self._refuse("no free slot", 400)
        boot_id = self.boot_id
        result = self.weights.call("GET", f"{self.options.weights}/weights/{name}")
        failed = self.rng.random() < self.faults.fail_loads
        if failed or not isinstance(result, Answer) or boot_id != self.boot_id:
            return self._refuse("weights can't be read", 500)
        self.resident.add(name)
        self.loads += 1
        self.lose_answer()
        return reply({})

    def unload(self) -> Any:
        """Unload an adapter; one in use is recorded as a fault of the caller."""
        if not self._fenced():
            return self._refuse("stale fencing number", 409)
        name = body()["lora_name"]
        if any(run.model == name for run in self.active()):
            self.evicted_in_use += 1
        self.resident.discard(name)
        self.lose_answer()
        return reply({})

    def export_kv(self, run_id: str) -> Any:
        """Return what a run has produced, as its cache."""
        run = self.run_by_id.get(run_id)
        if run is None:
            return self._refuse("unknown run", 404)
        return reply(
            {"model": run.model, "prompt": run.prompt, "total": run.total, "tokens": run.tokens}
        )

    def import_kv(self, run_id: str) -> Any:
        """Take a run over where another engine left it."""
        if not self._fenced():
            return self._refuse("stale fencing number", 409)
        data = body()
        if data["model"] not in self.resident:
            return self._refuse("adapter is not loaded", 404)
        run = Run(run_id, data["model"], data["prompt"], data["total"], data["tokens"])
        run.digest.update("".join(run.tokens).encode())
        self.run_by_id[run_id] = run
        return reply({})

    def set_role(self) -> Any:
        """Change the role; the stand-in only remembers it."""
        if not self._fenced():
            return self._refuse("stale fencing number", 409)
        role = body()["role"]
        if role not in ("prefill", "decode", "both"):
            return self._refuse("unknown role", 400)
        self.role = role
        return reply({"role": role})

    def cache_events(self) -> Any:
        """Return cache events: only the latest are kept, so a slow reader sees a gap."""
        after = int(bottle.request.query.after or 0)
        events = [event for event in self.cached if event["number"] > after]
        return reply({"boot_id": self.boot_id, "events": events})

    def _note_cached(self, prompt: str) -> None:
        self.cache_number += 1
        event = {"number": self.cache_number, "kind": "stored", "prefix": prompt[:32]}
        self.cached = [*self.cached[-63:], event]

    def set_fence(self) -> Any:
        """Refuse orders below a number from now on."""
        return reply({}) if self._fenced() else self._refuse("stale fencing number", 409)

    def state(self) -> Any:
        """Return the load report; what runs shows with a lag."""
        now = time.monotonic()
        running = {run.run_id: run.model for run in self.active()}
        self.reports.append((now, running))
        lagged = [entry for at, entry in self.reports if at <= now - self.options.lag_ms / 1000]
        self.reports = self.reports[-200:]
        return reply(
            {
                "boot_id": self.boot_id,
                "slots": self.options.slots,
                "max_batch": self.options.max_batch,
                "resident": sorted(self.resident),
                "running": lagged[-1] if lagged else running,
                "leaving": self.leaving,
            }
        )

    def _fenced(self) -> bool:
        number = int(bottle.request.get_header("X-Fencing-Number", "0"))
        if self.options.ignores_fencing:
            return True
        if number < self.fence:
            return False
        self.fence = number
        return True

    def _refuse(self, reason: str, status: int) -> Any:
        return reply({"error": {"message": reason, "outcome": "not_run"}}, status)

    def _stream(self, run: Run, index: int) -> Any:
        served = run.model
        if self.wrong_echo > 0:
            self.wrong_echo -= 1
            served = "base"
        cut_at = None
        if self.cut_next > 0:
            self.cut_next -= 1
            cut_at = index + 2
        headers = {
            "Content-Type": "text/event-stream",
            "X-Served-Adapter": served,
            "X-Boot-Id": self.boot_id,
        }
        return bottle.HTTPResponse(self._events(run, index, cut_at), 200, headers)

    def _events(self, run: Run, index: int, cut_at: int | None) -> Iterator[bytes]:
        yield sse.KEEP_ALIVE
        while True:
            while index < len(run.tokens):
                if cut_at is not None and index >= cut_at:
                    raise ConnectionResetError("cut on purpose")
                choice = {"index": 0, "text": run.tokens[index]}
                yield sse.encode({"model": run.model, "choices": [choice]}, event_id=index)
                index += 1
            if run.cancelled:
                raise ConnectionResetError("cancelled")
            if run.done:
                end = {"usage": {"completion_tokens": index}, "digest": run.digest.hexdigest()}
                yield sse.encode(end) + sse.DONE
                return
            run.changed.clear()
            if not run.changed.wait(KEEP_ALIVE_S):
                yield sse.KEEP_ALIVE


if __name__ == "__main__":
    arguments = parser(__doc__)
    arguments.add_argument("--weights", required=True, help="URL of the weight store")
    arguments.add_argument("--slots", type=int, default=4)
    arguments.add_argument("--max-batch", type=int, default=8)
    arguments.add_argument("--step-ms", type=int, default=10)
    arguments.add_argument("--lag-ms", type=int, default=300)
    arguments.add_argument("--ignores-fencing", action="store_true")
    given = arguments.parse_args()
    RunnerStandIn(given).run(given.listen)
