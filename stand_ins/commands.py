"""What stand-ins that run as processes share: commands come in at stdin, records go to stdout."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

import orjson
from gevent.fileobject import FileObject

Command = Callable[..., None]


def record(event: str, **fields: Any) -> None:
    """Write down what happened, with the time of day in milliseconds."""
    line = orjson.dumps({"at_ms": time.time_ns() // 1_000_000, "event": event, **fields})
    os.write(sys.stdout.fileno(), line + b"\n")


def follow(commands: Mapping[str, Command]) -> None:
    """Carry out commands, one JSON object a line, until whoever gives them is gone.

    :param commands: by the value of ``do``; the other fields are arguments.
    """
    with FileObject(sys.stdin.fileno(), "rb", close=False) as lines:
        for line in lines:
            fields = orjson.loads(line)
            commands[fields.pop("do")](**fields)
