"""Processes that take commands and write down what happened."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from script.processes import Processes


@attrs.frozen(slots=True)
class Record:
    """What a stand-in wrote down.

    :param at_ms: time of day.
    """

    source: str
    at_ms: int
    event: str
    fields: dict[str, Any]


class CommandedProcesses(Processes):
    """Stand-ins that take commands at standard input, and nodes beside them."""

    def command(self, name: str, do: str, /, **fields: Any) -> None:
        """Give a stand-in a command, unless it has ended."""
        pipe = self.by_name[name].stdin
        # A server may crash by itself at any moment.
        with contextlib.suppress(BrokenPipeError):
            pipe.write(orjson.dumps({"do": do, **fields}) + b"\n")
            pipe.flush()

    def records(self, name: str) -> Iterator[Record]:
        """Return what a stand-in wrote down."""
        for line in self.written(name).splitlines():
            fields = orjson.loads(line)
            yield Record(name, fields.pop("at_ms"), fields.pop("event"), fields)
