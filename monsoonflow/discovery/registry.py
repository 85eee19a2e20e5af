"""Keeps the list of backend servers; a server that leaves gets no new work."""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from .models import BackendServer, HeldModel

_LOGGER = logging.getLogger(__name__)
DEPARTED_RETENTION_MS: Final = 60_000
"""How long the name of a life that left is kept, so that an old list can't bring it back."""

EARLIER_LIFE_ACCEPT_MS: Final = 1_000
"""A life with an earlier birth that speaks again after so long, while the known one is silent, is
no late word: a clock was set back between two starts. Servers speak about every second."""


@attrs.define(slots=True)
class _EarlierLife:
    """A life that was born before the known one, and when it first spoke."""

    life: ServerLife
    first_seen_ms: int


@attrs.frozen(slots=True)
class _AddressOwner:
    """Who last registered an address."""

    life: ServerLife
    row_version: int


class ServerRegistry:
    """The backend servers by life, and which of them take new work.

    Of each id one life is known, the newest; an address belongs to who last registered it.
    """

    def __init__(self) -> None:
        self.server_by_life: dict[ServerLife, BackendServer] = {}
        self._life_by_id: dict[str, ServerLife] = {}
        self._earlier_life_by_id: dict[str, _EarlierLife] = {}
        self._owner_by_address: dict[str, _AddressOwner] = {}
        self._unreadable_cause_by_id: dict[str, str] = {}
        self._restarted_ms_by_life: dict[ServerLife, int] = {}
        self._removed_lives: list[ServerLife] = []
        self._lives_with_birth_time = 0
        self._missing_until_ms_by_life: dict[ServerLife, int] = {}
        self._left_ms_by_life: dict[ServerLife, int] = {}
        self._added_ms_by_life: dict[ServerLife, int] = {}
        self._grace_until_ms = 0
        self.version = 0

    def life_of(self, server_id: str) -> ServerLife | None:
        """Return the life of a server that is known."""
        return self._life_by_id.get(server_id)

    def put(self, server: BackendServer, now_ms: int, row_version: int = 0) -> None:
        """Take a server's entry as the store holds it now.

        :param row_version: rises with each change of any entry; 0 for another node's word.
        """
        known_life = self._life_by_id.get(server.life.server_id)
        if known_life is not None and known_life != server.life:
            if server.life.born_ms is None:
                self.mark_unreadable(server.life.server_id, "born is missing")
                return
            if not self._is_newer_life(server.life, known_life, now_ms):
                return
            self._replace_life(known_life, server.life, now_ms)
        self._record_registration(server, row_version)
        known = self.server_by_life.get(server.life)
        if known == server:
            return
        self._store(server, now_ms)
        if server.is_leaving:
            self.mark_leaving(server.life, now_ms, "said so")
        elif known is None:
            log(
                _LOGGER,
                events.ServerCame(
                    server=server.life, service=server.service, address=server.address
                ),
            )

    def mark_unreadable(self, server_id: str, cause: str) -> None:
        """Take that a server's entry can't be read: the server is not used until it can.

        It is not forgotten: what runs there goes on, and the next good entry brings it back.
        """
        if self._unreadable_cause_by_id.get(server_id) == cause:
            return
        self._unreadable_cause_by_id[server_id] = cause
        self.version += 1
        log(_LOGGER, events.UnusableRow(row=f"server {server_id}", cause=cause))

    def remove(self, server_id: str, now_ms: int) -> None:
        """Take the word that a server's entry is gone."""
        self._unreadable_cause_by_id.pop(server_id, None)
        life = self._life_by_id.get(server_id)
        if life is None:
            return
        if now_ms < self._grace_until_ms:
            self._missing_until_ms_by_life.setdefault(life, self._grace_until_ms)
            return
        self._remove(life, now_ms, "entry removed")

    def replace_all(self, servers: list[BackendServer], now_ms: int) -> None:
        """Take a whole list; what is missing in it is gone."""
        present = {server.life.server_id for server in servers}
        for server in servers:
            self.put(server, now_ms)
        for server_id in [known for known in self._life_by_id if known not in present]:
            self.remove(server_id, now_ms)

    def keep_missing_until(self, until_ms: int) -> None:
        """Note the end of an outage: entries of living servers may be missing for a moment.

        Without the wait the end of an outage would leave no server at all.
        """
        self._grace_until_ms = until_ms

    def has_missing(self) -> bool:
        """Tell whether entries are missing of servers that may be back."""
        return bool(self._missing_until_ms_by_life)

    def confirm_life(self, life: ServerLife, models: tuple[HeldModel, ...], now_ms: int) -> bool:
        """Take the life that a server names in its own answer; return whether it is the known one.

        Its entry may still name the life before: the server is known by its new life from here on,
        so that nothing is believed of it that it lost.

        :param models: what it says it holds.
        """
        known_life = self._life_by_id.get(life.server_id)
        if known_life is None or known_life == life:
            return known_life == life
        if life.born_ms is None or not self._is_newer_life(life, known_life, now_ms):
            return False
        known = self.server_by_life[known_life]
        self._replace_life(known_life, life, now_ms)
        self.put(attrs.evolve(known, life=life, is_leaving=False, models=models), now_ms)
        return False

    def mark_leaving(self, life: ServerLife, now_ms: int, cause: str) -> None:
        """Take the word, from whomever, that a life takes no new work."""
        if life not in self._left_ms_by_life:
            self._left_ms_by_life[life] = now_ms
            self.version += 1
            log(_LOGGER, events.ServerLeaves(server=life, cause=cause))

    def remove_missing(self, now_ms: int) -> bool:
        """Drop what stayed missing; return whether anything was dropped."""
        gone = [life for life, until in self._missing_until_ms_by_life.items() if now_ms >= until]
        for life in gone:
            self._remove(life, now_ms, "entry still missing")
        return bool(gone)

    def pop_removed(self, now_ms: int) -> list[ServerLife]:
        """Drop what stayed missing; return the lives that are gone."""
        self.remove_missing(now_ms)
        for life, at_ms in list(self._left_ms_by_life.items()):
            if now_ms - at_ms > DEPARTED_RETENTION_MS and life not in self.server_by_life:
                del self._left_ms_by_life[life]
        gone, self._removed_lives = self._removed_lives, []
        return gone

    def restarted_ms(self, life: ServerLife) -> int | None:
        """Return when a life was first heard of that followed another of its server."""
        return self._restarted_ms_by_life.get(life)

    def is_accepting_work(self, life: ServerLife) -> bool:
        """Tell whether a server may get new requests."""
        server = self.server_by_life.get(life)
        return server is not None and self._is_usable(server)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new work."""
        return [
            server
            for server in self.server_by_life.values()
            if server.service == service and self._is_usable(server)
        ]

    def recently_left(self, now_ms: int, within_ms: int) -> list[ServerLife]:
        """Return who left lately, for other nodes."""
        return [
            life for life, at_ms in self._left_ms_by_life.items() if now_ms - at_ms <= within_ms
        ]

    def recently_added(self, now_ms: int, within_ms: int) -> list[ServerLife]:
        """Return who came lately, for other nodes."""
        return [
            life for life, at_ms in self._added_ms_by_life.items() if now_ms - at_ms <= within_ms
        ]

    def is_known(self, life: ServerLife) -> bool:
        """Tell whether a life is known, or has been."""
        return life in self.server_by_life or life in self._left_ms_by_life

    def _is_usable(self, server: BackendServer) -> bool:
        if server.life in self._left_ms_by_life or self._is_missing_birth_time(server.life):
            return False
        if server.life.server_id in self._unreadable_cause_by_id:
            return False
        owner = self._owner_by_address.get(server.address)
        return owner is None or owner.life == server.life

    def _is_missing_birth_time(self, life: ServerLife) -> bool:
        """Tell whether an entry lacks the birth that most others tell: it is another writer's."""
        return life.born_ms is None and 2 * self._lives_with_birth_time > len(self.server_by_life)

    def _is_newer_life(self, life: ServerLife, known: ServerLife, now_ms: int) -> bool:
        """Tell whether a life comes after the one that is known of its server.

        A late word of the life before would bring back a server that is gone, with all that it
        held; it comes once. A life that goes on speaking while the known one is silent is the
        newer one, whatever its clock says.
        """
        if known.born_ms is None or (life.born_ms is not None and life.born_ms > known.born_ms):
            return True
        earlier = self._earlier_life_by_id.get(life.server_id)
        if earlier is None or earlier.life != life:
            self._earlier_life_by_id[life.server_id] = _EarlierLife(life, now_ms)
            log(_LOGGER, events.EarlierLife(server=life, known=known))
            return False
        return now_ms - earlier.first_seen_ms >= EARLIER_LIFE_ACCEPT_MS

    def _replace_life(self, before: ServerLife, life: ServerLife, now_ms: int) -> None:
        self.mark_leaving(before, now_ms, f"started again as {life}")
        self._forget(before)
        self._left_ms_by_life.pop(life, None)
        self._restarted_ms_by_life[life] = now_ms
        self._earlier_life_by_id.pop(life.server_id, None)

    def _record_registration(self, server: BackendServer, row_version: int) -> None:
        """Note that a server registered itself now: its address is its own, and it can be read."""
        server_id = server.life.server_id
        self._earlier_life_by_id.pop(server_id, None)
        self._missing_until_ms_by_life.pop(server.life, None)
        if self._unreadable_cause_by_id.pop(server_id, None) is not None:
            self.version += 1
        if server.life in self._left_ms_by_life:
            return
        owner = self._owner_by_address.get(server.address)
        if owner is None or owner.life == server.life or owner.life not in self.server_by_life:
            self._owner_by_address[server.address] = _AddressOwner(server.life, row_version)
        elif self._is_registered_later(server.life, row_version, owner):
            self._owner_by_address[server.address] = _AddressOwner(server.life, row_version)
            log(
                _LOGGER,
                events.AddressTaken(address=server.address, server=server.life, before=owner.life),
            )

    @staticmethod
    def _is_registered_later(life: ServerLife, row_version: int, owner: _AddressOwner) -> bool:
        if life.born_ms is not None and owner.life.born_ms is not None:
            return life.born_ms > owner.life.born_ms
        return row_version >= owner.row_version

    def _store(self, server: BackendServer, now_ms: int) -> None:
        if server.life not in self.server_by_life:
            self._added_ms_by_life[server.life] = now_ms
            self._lives_with_birth_time += server.life.born_ms is not None
        self.server_by_life[server.life] = server
        self._life_by_id[server.life.server_id] = server.life
        self.version += 1

    def _remove(self, life: ServerLife, now_ms: int, cause: str) -> None:
        self.mark_leaving(life, now_ms, cause)
        self._forget(life)

    def _forget(self, life: ServerLife) -> None:
        self._missing_until_ms_by_life.pop(life, None)
        self._restarted_ms_by_life.pop(life, None)
        self._added_ms_by_life.pop(life, None)
        server = self.server_by_life.pop(life, None)
        if server is None:
            return
        self._lives_with_birth_time -= life.born_ms is not None
        self._removed_lives.append(life)
        del self._life_by_id[life.server_id]
        owner = self._owner_by_address.get(server.address)
        if owner is not None and owner.life == life:
            del self._owner_by_address[server.address]
        self.version += 1
