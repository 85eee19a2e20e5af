"""Asks the fleet's grant-giver before each load, and falls back to a share of the rate."""

from __future__ import annotations

from ..helpers.hashing import best
from ..rpc import control_pb2 as pb
from ..rpc.client import ControlCaller
from ..runner.models import LoadCandidate, best_of_each_kind
from .context import NodeContext
from .dispatcher import Dispatcher
from .grants import GrantGiver

ASK_EVERY_MS = 50
MIN_PAUSE_MS = 5
IDLE_MS = 1_000
FALLBACK_MS = 3_000
HOLD_EVERY_MS = 1_000


class LoadGate:
    """Starts loads one at a time in the fleet while a grant-giver answers."""

    def __init__(
        self,
        context: NodeContext,
        client: ControlCaller,
        dispatcher: Dispatcher,
        giver: GrantGiver,
    ) -> None:
        self._context = context
        self._client = client
        self._dispatcher = dispatcher
        self._giver = giver
        self._fallback_until_ms = 0
        self._granted_by: str | None = None
        self._held_ms = 0

    def run(self) -> None:
        """Ask while there is something to load, until the process ends."""
        while True:
            busy = self._context.core.queued_count() or self._granted_by is not None
            self._dispatcher.load_wanted.wait(ASK_EVERY_MS if busy else IDLE_MS)
            self._dispatcher.load_wanted.clear()
            self.step()
            if busy:
                self._context.tasks.sleep(MIN_PAUSE_MS)

    def step(self) -> None:
        """Ask once."""
        context, core = self._context, self._context.core
        self._set_share()
        now_ms = context.now_ms()
        core.needs_fleet_grant = now_ms >= self._fallback_until_ms
        if core.loads_in_progress():
            self._hold(now_ms)
            return
        if not core.needs_fleet_grant:
            return
        self._give_back()
        candidates = core.load_candidates(now_ms)
        chosen = self._ask(candidates) if candidates else None
        if chosen is not None and core.start_load(chosen, context.now_ms()):
            self._dispatcher.kick()

    def _ask(self, candidates: list[LoadCandidate]) -> LoadCandidate | None:
        """Return the load that the giver grants, if any: the best in service or of newcomers."""
        options = best_of_each_kind(candidates)
        address = self._giver_address()
        request = pb.GrantRequest(process=self._context.home)
        for option in options:
            request.wishes.add(
                score=option.score, overdue=option.overdue, background=option.background
            )
        reply = self._tell(address, request)
        if reply is None:
            self._fallback_until_ms = self._context.now_ms() + FALLBACK_MS
            return None
        if not reply.granted:
            return None
        self._granted_by = address
        self._held_ms = self._context.now_ms()
        return options[reply.wish]

    def _give_back(self) -> None:
        """Tell the giver that the granted load has ended."""
        if self._granted_by is None:
            return
        address, self._granted_by = self._granted_by, None
        self._tell(address, pb.GrantRequest(process=self._context.home, finished=True))

    def _hold(self, now_ms: int) -> None:
        """Tell the giver now and then that the granted load goes on."""
        if self._granted_by is None or now_ms - self._held_ms < HOLD_EVERY_MS:
            return
        self._held_ms = now_ms
        self._tell(self._granted_by, pb.GrantRequest(process=self._context.home, holding=True))

    def _tell(self, address: str, request: pb.GrantRequest) -> pb.GrantReply | None:
        if address != self._context.me.rpc:
            return self._client.grant_load(address, request)
        wish = self._giver.ask(request)
        return pb.GrantReply(granted=wish is not None, wish=wish or 0)

    def _giver_address(self) -> str:
        context = self._context
        rows = [peer.row for peer in context.membership.serving_peers(context.now_ms())] + [
            context.me
        ]
        by_incarnation = {row.incarnation: row.rpc for row in rows}
        chosen = best("load-grants", by_incarnation)
        return by_incarnation[chosen] if chosen else context.me.rpc

    def _set_share(self) -> None:
        nodes = len(self._context.membership.live_peers(self._context.now_ms())) + 1
        self._context.core.share.set_rate(self._context.settings["loads-per-second"] / nodes)
