"""The commands that talk to a running node."""

from __future__ import annotations

import os
import sys
from datetime import datetime
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from ..helpers.http import Answer, HttpClient, Lost
from ..report import timeline

EXIT_FAILED = 1
EXIT_USAGE = 2
CALL_TIMEOUT_MS = 15_000
COMMON = [
    option("at", None, "URL of any node (or MONSOONFLOW_AT).", flag=False),
    option("token", None, "Token (or MONSOONFLOW_TOKEN).", flag=False),
    option("json", None, "Print JSON.", flag=True),
]


class Remote(Command):
    """Calls a node and prints what it answers."""

    options: ClassVar[list[Option]] = COMMON

    def scheme(self) -> str:
        """Return the scheme that nodes are reached by."""
        return self._at().partition("://")[0]

    def _at(self) -> str:
        return self.option("at") or os.environ.get("MONSOONFLOW_AT", "")

    def call(self, method: str, path: str, json: Any = None, at: str | None = None) -> Any | None:
        """Return the decoded answer, or ``None`` after printing one line about the problem.

        :param at: the URL of the node, in place of the one that the operator named.
        """
        at = at or self._at()
        token = self.option("token") or os.environ.get("MONSOONFLOW_TOKEN", "")
        if not at.startswith(("http://", "https://")):
            print("--at (MONSOONFLOW_AT) must be the URL of a node", file=sys.stderr)
            raise SystemExit(EXIT_USAGE)
        headers = {"Authorization": f"Bearer {token}"}
        client = HttpClient(CALL_TIMEOUT_MS)
        match client.call(method, at.rstrip("/") + path, json, headers):
            case Lost(reason=reason):
                print(f"{at} did not answer: {reason}", file=sys.stderr)
                return None
            case Answer(status=200) as result:
                return result.json()
            case Answer() as result:
                data = result.json()
                error = data.get("error", {}) if isinstance(data, dict) else {}
                print(error.get("message", f"status {result.status}"), file=sys.stderr)
                return None

    def show(self, data: Any, lines: list[str]) -> int:
        """Print an answer as JSON or as text."""
        if self.option("json"):
            print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())
        else:
            print("\n".join(lines))
        return 0


class AddressCommand(Remote):
    """Asks which node a caller should use."""

    name = "address"
    description = "Ask which node a caller should use for a model (with the customer's key)."
    arguments: ClassVar[list[Argument]] = [argument("model", "ADAPTER or ADAPTER@VERSION")]

    def handle(self) -> int:
        """Print the addresses, best first."""
        data = self.call("GET", f"/v1/address?model={quote(self.argument('model'))}")
        if data is None:
            return EXIT_FAILED
        return self.show(
            data, [f"{entry['address']}  {entry['node']}" for entry in data["addresses"]]
        )


class StatusCommand(Remote):
    """Shows the fleet as one node sees it."""

    name = "status"
    description = "Show nodes, runners and where the configuration is in force."

    def handle(self) -> int:
        """Print the status."""
        data = self.call("GET", "/v1/status")
        if data is None:
            return EXIT_FAILED
        everywhere = "in force everywhere" if data["in_force_everywhere"] else "on its way"
        lines = [f"configuration {data['config_version']}: {everywhere}"]
        lines += [
            f"node {node['node']:<12} {node['data_centre']:<8} {node['address']:<21} "
            f"version {node['config_version']} silent {node['silent_ms']} ms"
            + (" leaving" if node["leaving"] else "")
            for node in data["nodes"]
        ]
        lines += [
            f"runner {row['runner']:<12} owner {row['owner']}"
            + (f" running {row['running']} queued {row['queued']}" if "running" in row else "")
            for row in data["runners"]
        ]
        lines.append(f"{data['customers']} customers, {data['adapters']} adapters")
        return self.show(data, lines)


def plan_lines(data: dict[str, Any]) -> list[str]:
    """Return a plan as text."""
    lines = [f"plan {data['plan_id']} ({data['kind']}): {data['state']}"]
    lines += [f"  [{'x' if step['done'] else ' '}] {step['title']}" for step in data["steps"]]
    lines += [f"  effect: {effect}" for effect in data["effects"]]
    lines += [f"  assumes: {assumption}" for assumption in data["assumptions"]]
    lines.append(f"  loads: {data['loads']}, at the store's rate {data['load_seconds']} s")
    return lines


class IntentCommand(Remote):
    """States an intent and gets a plan."""

    name = "intent"
    description = "State an intent (a JSON file, or - for standard input); prints the plan."
    arguments: ClassVar[list[Argument]] = [argument("file", "file with the intent")]

    def handle(self) -> int:
        """Post the intent and print its plan."""
        source = self.argument("file")
        try:
            text = sys.stdin.read() if source == "-" else Path(source).read_text()
            intent = orjson.loads(text)
        except (OSError, orjson.JSONDecodeError) as error:
            print(f"{source}: {error}", file=sys.stderr)
            return EXIT_USAGE
        data = self.call("POST", "/v1/intents", intent)
        if data is None:
            return EXIT_FAILED
        return self.show(data, plan_lines(data))


class PlanShowCommand(Remote):
    """Shows a plan and how far it is."""

    name = "plan show"
    description = "Show a plan and how far it is."
    arguments: ClassVar[list[Argument]] = [argument("plan", "identifier of the plan")]

    def handle(self) -> int:
        """Print the plan."""
        data = self.call("GET", f"/v1/plans/{quote(self.argument('plan'), safe='')}")
        return EXIT_FAILED if data is None else self.show(data, plan_lines(data))


class PlanConfirmCommand(Remote):
    """Confirms a plan."""

    name = "plan confirm"
    description = "Confirm a plan; nothing changes before."
    arguments: ClassVar[list[Argument]] = [argument("plan", "identifier of the plan")]

    def handle(self) -> int:
        """Confirm the plan and print it."""
        data = self.call("POST", f"/v1/plans/{quote(self.argument('plan'), safe='')}/confirm")
        return EXIT_FAILED if data is None else self.show(data, plan_lines(data))


class ExplainCommand(Remote):
    """Tells what was decided about a request or a runner, from a node or from logs."""

    name = "explain"
    description = "Tell in plain words what was decided about a request or a runner, and why."
    arguments: ClassVar[list[Argument]] = [
        argument("request", "identifier of the request", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *COMMON,
        option("runner", None, "A runner in place of a request.", flag=False),
        option(
            "logs", None, "A node's log file; may be given several times.", False, multiple=True
        ),
        option("around", None, "With --logs: a time of day as logged.", flag=False),
        option("server", None, "With --logs and --around: only this server.", flag=False),
    ]

    def handle(self) -> int:
        """Print the explanation."""
        if self.option("logs"):
            return self._from_logs()
        runner, request = self.option("runner"), self.argument("request")
        if bool(runner) == bool(request):
            print("name either a request or --runner", file=sys.stderr)
            return EXIT_USAGE
        kind, subject = ("runners", runner) if runner else ("requests", request)
        data = self.call("GET", f"/v1/explain/{kind}/{quote(subject, safe='')}")
        return EXIT_FAILED if data is None else self.show(data, data["lines"])

    def _from_logs(self) -> int:
        entries: list[timeline.LogEntry] = []
        for name in self.option("logs"):
            try:
                with open(name, errors="replace") as file:
                    entries += timeline.read(file, Path(name).stem)
            except OSError as error:
                print(f"{name}: {error.strerror}", file=sys.stderr)
                return EXIT_USAGE
        request, moment = self.argument("request"), self.option("around")
        if bool(request) == bool(moment):
            print("with --logs name either a request or --around", file=sys.stderr)
            return EXIT_USAGE
        if request:
            lines = timeline.of_request(entries, request)
        else:
            try:
                at_ms = int(datetime.fromisoformat(moment).timestamp() * 1000)
            except ValueError:
                print(
                    f"--around {moment!r} is not a time like 2026-04-04T20:09:12", file=sys.stderr
                )
                return EXIT_USAGE
            lines = timeline.around(entries, at_ms, self.option("server"))
        if not lines:
            print("nothing of it is in these files", file=sys.stderr)
            return EXIT_FAILED
        return self.show(lines, lines)
