"""Notes what was sent, answered and run, and checks the rules that need no bounds."""

from __future__ import annotations

import time
from collections import defaultdict
from pathlib import Path
from typing import Any

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Record:
    """The notes of one run, in the order in which things happened."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self.lines: list[str] = []
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.status_by_request: dict[str, int] = {}
        self.sent_count = 0
        self.breaks: list[str] = []

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self._began:9.3f} {text}")

    def sent(self, request: str, text: str) -> None:
        """Note that a consumer sent a request."""
        self.sent_count += 1
        self.note(f"sent {request} {text}")

    def answered(self, request: str, status: int, text: str) -> None:
        """Note what a consumer got; status 0: no whole answer."""
        self.status_by_request[request] = status
        self.note(f"answered {request} {status} {text}")

    def ran(self, request: str, server: str) -> None:
        """Note that a server began to run a request."""
        self.runs[request].append(server)
        self.note(f"runs {request} at {server}")

    def answered_by_server(self, request: str, server: str, status: int) -> None:
        """Note a server's answer."""
        self.note(f"server {server} answers {request} {status}")

    def ordered(self, server: str, data: dict[str, Any], status: int) -> None:
        """Note an order to a server."""
        words = ("operation", "adapter", "version", "expectedRev", "dutyHolder", "fenceToken")
        fields = " ".join(f"{word}={data[word]}" for word in words if word in data)
        self.note(f"order to {server}: {fields} -> {status}")

    def broken(self, rule: str, text: str) -> None:
        """Note that a rule was broken."""
        self.breaks.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")

    def check_runs(self, at_most_once: set[str]) -> None:
        """Check that requests ran at most once, and not if their consumer was told so.

        :param at_most_once: the requests that are not idempotent.
        """
        for request in sorted(at_most_once):
            runs, status = self.runs.get(request, []), self.status_by_request.get(request, 0)
            if len(runs) > 1:
                self.broken("TWICE", f"{request} ran at {', '.join(runs)}")
            if runs and status in PROMISES_NOT_RUN:
                self.broken("REFUSED", f"{request} got {status} and ran at {', '.join(runs)}")

    def save(self, path: Path) -> None:
        """Write the notes to a file."""
        path.write_text("\n".join(self.lines) + "\n")
