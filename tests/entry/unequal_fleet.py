"""A large fleet of unequal machines before one row, in virtual time."""

from __future__ import annotations

import random

import attrs

from monsoonflow.core.clock import ManualClock
from monsoonflow.entry.lease_loop import CellLeaseLoop
from monsoonflow.entry.store_follower import FULL_RATE_NODES, OWN_PAUSE_MS
from monsoonflow.fleet.heartbeat_rounds import HEARTBEAT_INTERVAL_MS, HeartbeatRounds
from monsoonflow.fleet.models import Heartbeat, NodeRecord
from monsoonflow.fleet.view import FleetView
from monsoonflow.storage.models import Conflict, Unavailable
from tests.entry.one_row import OneRowTable

CELL = "llm"
STEP_MS = 50
LOOP_MS = 100
READY_AFTER_MS = 300
STOP_TAKES_MS = 2_600
AWAY_MS = 4_000
LEASE_MS = 3_000


class CountingTable(OneRowTable):
    """A table that counts the writes that came too late."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0

    def get(self, key: str) -> object:
        """Return the row, or nothing while the table is down."""
        return None if self.down else super().get(key)

    def commit(self, transaction: object) -> object:
        """Write the row, if its version is as expected."""
        result = super().commit(transaction)
        self.refused += isinstance(result, Conflict)
        assert not isinstance(result, Unavailable) or self.down
        return result


@attrs.define
class Member:
    """One life of a node."""

    card: NodeRecord
    view: FleetView
    loop: CellLeaseLoop
    rounds: HeartbeatRounds
    started_ms: int
    sequence: int = 0
    leaving: bool = False
    up: bool = True
    read_at_ms: int = 0

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.card.name

    def ready(self, now_ms: int) -> bool:
        """Tell whether callers and duties may come."""
        return self.up and not self.leaving and now_ms - self.started_ms >= READY_AFTER_MS

    def report(self, now_ms: int) -> Heartbeat:
        """Return its word about itself."""
        self.sequence += 1
        claim = self.loop.current_claim()
        claims = () if claim is None else (claim,)
        self.view.record_sent(self.sequence, claims, now_ms)
        return Heartbeat(
            self.card,
            self.sequence,
            self.ready(now_ms),
            self.leaving,
            1,
            True,
            claims=claims,
            acks=self.view.holder_acks(),
        )


class UnequalFleet:
    """Nodes that start, stop, die and start again, and tell each other in rounds.

    :param cores_by_name: what each machine has.
    """

    def __init__(self, cores_by_name: dict[str, float], fenced: bool, seed: int = 1) -> None:
        self.clock = ManualClock(100_000)
        self.table = CountingTable()
        self.cores_by_name = cores_by_name
        self.fenced = fenced
        self.rng = random.Random(seed)
        self.members: dict[str, Member] = {}
        self.lives = 0
        self.agenda: list[tuple[int, str, str]] = []
        self.without_ms = 0
        self.longest_without_ms = 0
        self.weak_ms = 0
        self.holders: list[str] = []
        self._alone_since_ms = 0

    def start_all(self, within_ms: int = 300) -> None:
        """Let all nodes start within a moment of each other, in any order."""
        now_ms = self.clock.now_ms()
        for name in self.cores_by_name:
            self.agenda.append((now_ms + self.rng.randrange(within_ms), "start", name))

    def stop(self, name: str) -> None:
        """Tell a node to stop: it gives up its duty and ends a while later."""
        member = self.members[name]
        member.leaving = True
        held = member.loop.drop_lease()
        if held is not None:
            member.loop.release_row(*held)
        self._tell(member)
        self.agenda.append((self.clock.now_ms() + STOP_TAKES_MS, "die", name))

    def die(self, name: str) -> None:
        """End a node without a word; it starts again a while later."""
        self.members[name].up = False
        self.agenda.append((self.clock.now_ms() + AWAY_MS, "start", name))

    def store(self, down: bool) -> None:
        """Let the store be lost for all, or be back."""
        self.table.down = down
        for member in self.members.values():
            member.loop.store_reachable = not down

    def run(self, for_ms: int) -> None:
        """Let time pass, and note who holds the duty."""
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            due = [entry for entry in self.agenda if entry[0] <= now_ms]
            self.agenda = [entry for entry in self.agenda if entry[0] > now_ms]
            for _at_ms, what, name in due:
                {"start": self._start, "die": self.die}[what](name)
            up = [member for member in self.members.values() if member.up]
            self.rng.shuffle(up)
            for member in up:
                phase_ms = now_ms - member.started_ms
                if phase_ms % HEARTBEAT_INTERVAL_MS < STEP_MS:
                    self._tell(member)
                if now_ms >= member.read_at_ms:
                    self._read(member, now_ms)
                if phase_ms % LOOP_MS < STEP_MS:
                    member.loop.step()
            self._note(now_ms)

    def holder(self) -> str | None:
        """Return who may order now."""
        now_ms = self.clock.now_ms()
        held = [m for m in self.members.values() if m.up and m.loop.held_lease.row is not None]
        found = [member.name for member in held if member.loop.holds(now_ms)]
        assert len(found) <= 1
        return found[0] if found else None

    def fastest(self, now_ms: int) -> float:
        """Return what the fastest of the ready machines has."""
        ready = [m.name for m in self.members.values() if m.ready(now_ms)]
        return max((self.cores_by_name[name] for name in ready), default=0.0)

    def _note(self, now_ms: int) -> None:
        holder = self.holder()
        if holder is None:
            self.without_ms += STEP_MS
            self.longest_without_ms = max(
                self.longest_without_ms, now_ms - max(self._alone_since_ms, 100_000)
            )
            return
        self._alone_since_ms = now_ms
        if self.cores_by_name[holder] < self.fastest(now_ms):
            self.weak_ms += STEP_MS
        if not self.holders or self.holders[-1] != holder:
            self.holders.append(holder)

    def _start(self, name: str) -> None:
        self.lives += 1
        now_ms = self.clock.now_ms()
        cores = self.cores_by_name[name]
        boot = f"boot-{name}-{self.lives}"
        view = FleetView(name, cores)
        member = Member(
            NodeRecord(name, boot, "dc", name, name, name, cores),
            view,
            None,
            HeartbeatRounds(name),
            now_ms,
        )
        member.loop = CellLeaseLoop(
            CELL,
            name,
            boot,
            LEASE_MS,
            self.fenced,
            self.table,
            view,
            self.clock,
            lambda: member.ready(self.clock.now_ms()),
            lambda: True,
        )
        self.members[name] = member

    def _read(self, member: Member, now_ms: int) -> None:
        """Let a node read the rows, as it does at leisure; all together ask as often as seven."""
        if self.table.down:
            return
        heard = len(member.view.heartbeats(now_ms))
        member.read_at_ms = now_ms + int(OWN_PAUSE_MS * max(1.0, (heard + 1) / FULL_RATE_NODES))
        for other in self.members.values():
            if other is not member:
                member.view.add_record(other.card)
        if self.table.row is not None:
            member.loop.handle_row(self.table.row)
        member.loop.loaded = True

    def _tell(self, member: Member) -> None:
        others = [name for name in member.view.record_by_name if name != member.name]
        now_ms = self.clock.now_ms()
        report = member.report(now_ms)
        fresh, holds = member.view.holder_and_standby_names(), member.view.holds_cell_lease()
        for name in member.rounds.next_peers(others, fresh, holds):
            if self.members[name].up:
                self.members[name].view.receive(report, now_ms)
