"""Compares whole sessions with their golden files (``--snapshot-update`` writes them anew)."""

from __future__ import annotations

import re

import pytest
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from script.fleet import bring_in_intent

from .session import Session, play


class TextFile(SingleFileSnapshotExtension):
    """Keeps each session in a text file of its own."""

    _write_mode = WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(TextFile)


def bring_in(session: Session) -> None:
    """A newcomer is brought in while another customer is served."""
    session.say("before the plan is confirmed, the newcomer's adapter is not known")
    session.ask("summit-0", "too early")
    session.let(200)
    session.operate("node-0", bring_in_intent("summit", 2))
    session.ask("ledger-0@1", "old customer")
    session.let(3_000)
    session.say("now it is")
    session.ask("summit-0", "first")
    session.let(2_000)


def retire(session: Session) -> None:
    """A version is moved while a request runs on the earlier one."""
    session.ask("ledger-0", "long answer", tokens=200)
    session.let(600)
    move = {"kind": "move_version", "adapter": "ledger-0", "version": 1, "close_previous": True}
    session.operate("node-1", move)
    session.let(500)
    session.say("new requests get the new version; the closed one is refused")
    session.ask("ledger-0", "after the move")
    session.ask("ledger-0@2", "closed version")
    session.let(4_000)


def takeover(session: Session) -> None:
    """The owner dies in the middle of a request that may be repeated."""
    session.ask("ledger-0", "first")
    session.let(1_000)
    owner = session.owner()
    session.ask("ledger-0", "waits through it", tokens=20)
    session.let(4)
    session.say(f"{owner} is killed")
    session.processes[owner].tasks.kill()
    session.let(16_000)


def graceful_stop(session: Session) -> None:
    """The owner is stopped gracefully with a long answer in progress."""
    session.ask("ledger-0", "long answer", tokens=300)
    session.let(1_000)
    owner = session.owner()
    process = session.processes[owner]
    session.say(f"{owner} is told to stop")
    process.stopped = True
    process.tasks.spawn(session._stop_now, process)
    session.let(500)
    session.ask("ledger-1", "goes to the other node")
    session.let(12_000)


def table_outage(session: Session) -> None:
    """The table service is away for longer than a lease."""
    session.ask("ledger-0", "before")
    session.let(1_000)
    session.say("the table service goes away for 8 s, the lease lasts 3 s")
    session.weather.table_down = True
    session.let(5_000)
    session.ask("ledger-1", "during the outage")
    session.let(1_500)
    session.operate("node-0", bring_in_intent("summit", 1))
    session.let(1_500)
    session.weather.table_down = False
    session.say("it is back")
    session.let(5_000)
    session.ask("ledger-2", "after")
    session.let(2_000)


SESSIONS = [bring_in, retire, takeover, graceful_stop, table_outage]


@pytest.mark.parametrize("script", SESSIONS, ids=lambda script: script.__name__)
def test_session(script, golden):
    text = play(script)
    names: dict[str, str] = {}
    shown = re.sub(
        r"p-[0-9a-f]{16}", lambda found: names.setdefault(found[0], f"p-{len(names) + 1}"), text
    )
    assert f"{script.__doc__}\n\n{shown}" == golden
