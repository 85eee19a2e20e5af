"""A large fleet of machines with unequal cores that share one cell lease, in virtual time."""

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
LEASE_CHECK_INTERVAL_MS = 100
STARTUP_MS = 300
SHUTDOWN_MS = 2_600
RESTART_DELAY_MS = 4_000
LEASE_MS = 3_000


class CountingTable(OneRowTable):
    """A table that counts the writes that it refused because the row had changed."""

    def __init__(self) -> None:
        super().__init__()
        self.conflicts = 0

    def get(self, key: str) -> object:
        """Return the row, unless the table is down."""
        return Unavailable("down") if self.is_down else super().get(key)

    def commit(self, transaction: object) -> object:
        """Write the row, if its version is as expected."""
        result = super().commit(transaction)
        self.conflicts += isinstance(result, Conflict)
        assert not isinstance(result, Unavailable) or self.is_down
        return result


@attrs.define
class Member:
    """One run of a node's process."""

    record: NodeRecord
    view: FleetView
    lease_loop: CellLeaseLoop
    rounds: HeartbeatRounds
    started_ms: int
    sequence: int = 0
    is_leaving: bool = False
    is_up: bool = True
    next_read_ms: int = 0

    @property
    def name(self) -> str:
        """Return the node's name."""
        return self.record.name

    def is_ready(self, now_ms: int) -> bool:
        """Return whether the node accepts callers and may claim the lease."""
        return self.is_up and not self.is_leaving and now_ms - self.started_ms >= STARTUP_MS

    def heartbeat(self, now_ms: int) -> Heartbeat:
        """Return the node's next heartbeat."""
        self.sequence += 1
        claim = self.lease_loop.current_claim()
        claims = () if claim is None else (claim,)
        self.view.record_sent(self.sequence, claims, now_ms)
        return Heartbeat(
            self.record,
            self.sequence,
            self.is_ready(now_ms),
            self.is_leaving,
            1,
            True,
            claims=claims,
            acks=self.view.holder_acks(),
        )


class UnequalFleet:
    """Nodes that start, stop, die and start again, and send each other heartbeats in rounds.

    :param cores_by_name: the cores of each machine.
    :ivar slow_holder_ms: how long a machine held the lease while a faster one was ready.
    """

    def __init__(self, cores_by_name: dict[str, float], fenced: bool, seed: int = 1) -> None:
        self.clock = ManualClock(100_000)
        self.table = CountingTable()
        self.cores_by_name = cores_by_name
        self.fenced = fenced
        self.rng = random.Random(seed)
        self.members: dict[str, Member] = {}
        self.starts = 0
        self.scheduled_actions: list[tuple[int, str, str]] = []
        self.without_holder_ms = 0
        self.longest_without_holder_ms = 0
        self.slow_holder_ms = 0
        self.holders: list[str] = []
        self._last_held_ms = 0

    def start_all(self, within_ms: int = 300) -> None:
        """Start all nodes within a short time of each other, in random order."""
        now_ms = self.clock.now_ms()
        for name in self.cores_by_name:
            self.scheduled_actions.append((now_ms + self.rng.randrange(within_ms), "start", name))

    def stop(self, name: str) -> None:
        """Stop a node: it releases the lease, and its process ends a while later."""
        member = self.members[name]
        member.is_leaving = True
        dropped = member.lease_loop.drop_lease()
        if dropped is not None:
            member.lease_loop.release_row(*dropped)
        self._send_heartbeat(member)
        self.scheduled_actions.append((self.clock.now_ms() + SHUTDOWN_MS, "die", name))

    def die(self, name: str) -> None:
        """End a node without notice; it starts again a while later."""
        self.members[name].is_up = False
        self.scheduled_actions.append((self.clock.now_ms() + RESTART_DELAY_MS, "start", name))

    def set_store_down(self, is_down: bool) -> None:
        """Make the store unavailable to all nodes, or available again."""
        self.table.is_down = is_down
        for member in self.members.values():
            member.lease_loop.store_reachable = not is_down

    def run(self, for_ms: int) -> None:
        """Advance the time, and record who holds the lease."""
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            due = [entry for entry in self.scheduled_actions if entry[0] <= now_ms]
            self.scheduled_actions = [
                entry for entry in self.scheduled_actions if entry[0] > now_ms
            ]
            for _due_ms, action, name in due:
                {"start": self._start, "die": self.die}[action](name)
            running = [member for member in self.members.values() if member.is_up]
            self.rng.shuffle(running)
            for member in running:
                phase_ms = now_ms - member.started_ms
                if phase_ms % HEARTBEAT_INTERVAL_MS < STEP_MS:
                    self._send_heartbeat(member)
                if now_ms >= member.next_read_ms:
                    self._read(member, now_ms)
                if phase_ms % LEASE_CHECK_INTERVAL_MS < STEP_MS:
                    member.lease_loop.step()
            self._record_holder(now_ms)

    def holder(self) -> str | None:
        """Return the node that may send orders now."""
        now_ms = self.clock.now_ms()
        possible = [
            m for m in self.members.values() if m.is_up and m.lease_loop.held_lease.row is not None
        ]
        holders = [member.name for member in possible if member.lease_loop.holds(now_ms)]
        assert len(holders) <= 1
        return holders[0] if holders else None

    def most_cores(self, now_ms: int) -> float:
        """Return the cores of the fastest machine that is ready."""
        ready_names = [m.name for m in self.members.values() if m.is_ready(now_ms)]
        return max((self.cores_by_name[name] for name in ready_names), default=0.0)

    def _record_holder(self, now_ms: int) -> None:
        holder = self.holder()
        if holder is None:
            self.without_holder_ms += STEP_MS
            self.longest_without_holder_ms = max(
                self.longest_without_holder_ms, now_ms - max(self._last_held_ms, 100_000)
            )
            return
        self._last_held_ms = now_ms
        if self.cores_by_name[holder] < self.most_cores(now_ms):
            self.slow_holder_ms += STEP_MS
        if not self.holders or self.holders[-1] != holder:
            self.holders.append(holder)

    def _start(self, name: str) -> None:
        self.starts += 1
        now_ms = self.clock.now_ms()
        cores = self.cores_by_name[name]
        boot_id = f"boot-{name}-{self.starts}"
        view = FleetView(name, cores)
        member = Member(
            NodeRecord(name, boot_id, "dc", name, name, name, cores),
            view,
            None,
            HeartbeatRounds(name),
            now_ms,
        )
        member.lease_loop = CellLeaseLoop(
            CELL,
            name,
            boot_id,
            LEASE_MS,
            self.fenced,
            self.table,
            view,
            self.clock,
            lambda: member.is_ready(self.clock.now_ms()),
            lambda: True,
        )
        self.members[name] = member

    def _read(self, member: Member, now_ms: int) -> None:
        """Read the rows; pauses grow with the fleet, so that all nodes poll as often as seven."""
        if self.table.is_down:
            return
        peer_count = len(member.view.heartbeats(now_ms))
        member.next_read_ms = now_ms + int(
            OWN_PAUSE_MS * max(1.0, (peer_count + 1) / FULL_RATE_NODES)
        )
        for peer in self.members.values():
            if peer is not member:
                member.view.add_record(peer.record)
        if self.table.row is not None:
            member.lease_loop.handle_row(self.table.row)
        member.lease_loop.loaded = True

    def _send_heartbeat(self, member: Member) -> None:
        peers = [name for name in member.view.record_by_name if name != member.name]
        now_ms = self.clock.now_ms()
        heartbeat = member.heartbeat(now_ms)
        every_round, is_holder = (
            member.view.holder_and_standby_names(),
            member.view.holds_cell_lease(),
        )
        for name in member.rounds.next_peers(peers, every_round, is_holder):
            if self.members[name].is_up:
                self.members[name].view.receive(heartbeat, now_ms)
