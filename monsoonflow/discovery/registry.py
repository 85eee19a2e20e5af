"""Keeps the list of backend servers; a server that is leaving gets no new requests."""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..core.server_life import ServerLife
from ..logs import events, log
from .departures import Departures
from .models import BackendServer, DepartedServer, HeldModel

_LOGGER = logging.getLogger(__name__)
EARLIER_LIFE_ACCEPT_MS: Final = 1_000
"""If a life with an earlier birth time is still reported after this time and the known life is not,
it is the current one, and not a delayed entry: the machine's clock was set back between two starts.
Servers report about every second."""


@attrs.define(slots=True)
class _EarlierLife:
    """A life with an earlier birth time than the known one, and when it was first reported."""

    life: ServerLife
    first_seen_ms: int


@attrs.frozen(slots=True)
class _AddressOwner:
    """The life that last registered an address, and the version of its entry."""

    life: ServerLife
    row_version: int


class ServerRegistry:
    """The backend servers by life, and which of them accept new requests.

    Only the newest life of each server id is known. An address belongs to the life that registered
    it last.
    """

    def __init__(self) -> None:
        self.server_by_life: dict[ServerLife, BackendServer] = {}
        self._life_by_id: dict[str, ServerLife] = {}
        self._earlier_life_by_id: dict[str, _EarlierLife] = {}
        self._owner_by_address: dict[str, _AddressOwner] = {}
        self._unreadable_cause_by_id: dict[str, str] = {}
        self._restarted_ms_by_life: dict[ServerLife, int] = {}
        self._removed_lives: list[ServerLife] = []
        self._birth_time_count = 0
        self._missing_until_ms_by_life: dict[ServerLife, int] = {}
        self._departures = Departures()
        self._announced_lives: set[ServerLife] = set()
        self._added_ms_by_life: dict[ServerLife, int] = {}
        self._grace_until_ms = 0
        self.version = 0

    def life_of(self, server_id: str) -> ServerLife | None:
        """Return the known life of a server, if any."""
        return self._life_by_id.get(server_id)

    def put(self, server: BackendServer, now_ms: int, row_version: int = 0) -> None:
        """Add or update a server from its current entry in the store.

        :param row_version: increases with each change of any entry; 0 if the entry comes from a
            peer.
        """
        known_life = self._life_by_id.get(server.life.server_id)
        if known_life is not None and known_life != server.life:
            if server.life.born_ms is None:
                self.mark_unreadable(server.life.server_id, "born is missing")
                return
            if not self._is_newer_life(server.life, known_life, now_ms):
                return
            self._replace_life(known_life, server.life, now_ms)
        if row_version and not server.is_leaving:
            self._departures.record_registration(server.life, now_ms)
        self._record_registration(server, row_version)
        known = self.server_by_life.get(server.life)
        if known == server:
            return
        self._store(server, now_ms)
        departure = self._departures.get(server.life)
        if departure is not None and not server.is_leaving:
            ago_ms = now_ms - departure.evidence_ms
            log(
                _LOGGER,
                events.DepartedServerRegistered(
                    server=server.life, cause=departure.cause, ago_ms=ago_ms
                ),
            )
        if server.is_leaving:
            self.record_announced_leave(server.life, now_ms, "its entry")
        elif known is None:
            log(
                _LOGGER,
                events.ServerCame(
                    server=server.life,
                    service=server.service,
                    address=server.address,
                    software_version=server.software_version,
                ),
            )

    def mark_unreadable(self, server_id: str, cause: str) -> None:
        """Record that a server's entry can't be read; the server gets no new requests until it can.

        The server stays known: its requests in progress continue, and the next readable entry makes
        it usable again.
        """
        if self._unreadable_cause_by_id.get(server_id) == cause:
            return
        self._unreadable_cause_by_id[server_id] = cause
        self.version += 1
        log(_LOGGER, events.UnusableRow(row=f"server {server_id}", cause=cause))

    def remove(self, server_id: str, now_ms: int) -> None:
        """Remove a server whose entry is gone, or keep it until a grace period ends."""
        self._unreadable_cause_by_id.pop(server_id, None)
        life = self._life_by_id.get(server_id)
        if life is None:
            return
        if now_ms < self._grace_until_ms:
            self._missing_until_ms_by_life.setdefault(life, self._grace_until_ms)
            return
        self._remove(life, now_ms, "entry removed")

    def replace_all(self, servers: list[BackendServer], now_ms: int) -> None:
        """Replace all servers by a complete list; servers that are not in it are removed."""
        present = {server.life.server_id for server in servers}
        for server in servers:
            self.put(server, now_ms)
        for server_id in [known for known in self._life_by_id if known not in present]:
            self.remove(server_id, now_ms)

    def keep_missing_until(self, until_ms: int) -> None:
        """Keep servers whose entries are missing until the given time, after a store outage.

        Right after an outage, entries of running servers may be missing for a moment. Without this
        grace period no server at all would be left then.
        """
        self._grace_until_ms = until_ms

    def has_missing(self) -> bool:
        """Return whether servers are kept although their entries are missing."""
        return bool(self._missing_until_ms_by_life)

    def confirm_life(self, life: ServerLife, models: tuple[HeldModel, ...], now_ms: int) -> bool:
        """Apply the life that a server gives in its own response; return whether it was known.

        The server's entry may still have its previous life. From now on the server is known by its
        new life, so that nothing that was lost in the restart is still attributed to it.

        :param models: models that the server reports as loaded.
        """
        known_life = self._life_by_id.get(life.server_id)
        if known_life is None or known_life == life:
            return known_life == life
        if life.born_ms is None or not self._is_newer_life(life, known_life, now_ms):
            return False
        known = self.server_by_life[known_life]
        self._replace_life(known_life, life, now_ms)
        # The new process may be of another version, which only its entry tells.
        restarted = attrs.evolve(
            known, life=life, is_leaving=False, models=models, software_version=None
        )
        self.put(restarted, now_ms)
        return False

    def mark_leaving(self, life: ServerLife, now_ms: int, cause: str) -> None:
        """Record that a life seems to have left; it is used again if it stays registered.

        :param cause: only logged.
        """
        self._record_departure(life, now_ms, cause, is_final=False)

    def record_announced_leave(self, life: ServerLife, now_ms: int, source: str) -> None:
        """Record that a server itself says that it is shutting down.

        :param source: where it says so; only logged.
        """
        self._announced_lives.add(life)
        self._record_departure(life, now_ms, f"said so in {source}", is_final=True)

    def record_peer_report(self, departed: DepartedServer, now_ms: int, peer: str) -> None:
        """Record that a peer knows of the departure of a registered server."""
        life, cause = departed.life, f"reported by {peer}"
        if life not in self.server_by_life:
            return
        if departed.is_final is None:
            is_news = self._departures.record_undated_report(life, now_ms, cause)
        else:
            is_news = self._departures.record_report(
                life, now_ms, cause, is_final=departed.is_final, age_ms=departed.age_ms
            )
        if is_news:
            self._handle_departure(life, cause)

    def handle_rows_lost(self, now_ms: int) -> None:
        """Handle the store's return from an older copy, which may hold entries of servers gone."""
        self._departures.restart_registrations(now_ms)

    def end_refuted_departures(self, known_until_ms: int, lapse_ms: int) -> bool:
        """Use servers again that seemed to have left but stay registered; return whether any is.

        :param known_until_ms: up to when this node knows which servers are registered.
        :param lapse_ms: how long the entry of a silent server stays in the store.
        """
        refuted = self._departures.end_refuted(known_until_ms, lapse_ms)
        for life, departure in refuted:
            after_ms = known_until_ms - departure.evidence_ms
            log(
                _LOGGER,
                events.ServerReturned(server=life, cause=departure.cause, after_ms=after_ms),
            )
            self._claim_address(self.server_by_life[life], 0)
            self.version += 1
        return bool(refuted)

    def has_left(self, life: ServerLife) -> bool:
        """Return whether a life accepts no new requests any more."""
        return life in self._departures

    def has_announced_leave(self, life: ServerLife) -> bool:
        """Return whether a server has said that it is shutting down: its end is no crash."""
        return life in self._announced_lives

    def remove_missing(self, now_ms: int) -> bool:
        """Remove servers whose entries stayed missing; return whether any was removed."""
        expired = [
            life for life, until_ms in self._missing_until_ms_by_life.items() if now_ms >= until_ms
        ]
        for life in expired:
            self._remove(life, now_ms, "entry still missing")
        return bool(expired)

    def pop_removed(self, now_ms: int) -> list[ServerLife]:
        """Remove servers that stayed missing; return all lives removed since the last call."""
        self.remove_missing(now_ms)
        for life in self._departures.forget_old(now_ms, self.server_by_life):
            self._announced_lives.discard(life)
        removed, self._removed_lives = self._removed_lives, []
        return removed

    def restarted_ms(self, life: ServerLife) -> int | None:
        """Return when this life replaced an earlier life of its server; ``None`` if it did not."""
        return self._restarted_ms_by_life.get(life)

    def is_accepting_work(self, life: ServerLife) -> bool:
        """Return whether a server may get new requests."""
        server = self.server_by_life.get(life)
        if server is None:
            return False
        return self._is_usable(server) or server in self._last_resort(server.service)

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        usable = [
            server
            for server in self.server_by_life.values()
            if server.service == service and self._is_usable(server)
        ]
        return usable or self._last_resort(service)

    def excluded_count(self) -> int:
        """Return the number of registered servers that get no new requests."""
        return sum(not self._is_usable(server) for server in self.server_by_life.values())

    def recently_left(self, now_ms: int, within_ms: int) -> list[DepartedServer]:
        """Return the servers that left within the given time, to be sent to peers."""
        return [
            DepartedServer(life, departure.is_final, now_ms - departure.evidence_ms)
            for life, departure in self._departures.recent(now_ms, within_ms)
        ]

    def recently_added(self, now_ms: int, within_ms: int) -> list[ServerLife]:
        """Return the lives that were added within the given time, to be sent to peers."""
        return [
            life for life, at_ms in self._added_ms_by_life.items() if now_ms - at_ms <= within_ms
        ]

    def is_known(self, life: ServerLife) -> bool:
        """Return whether a life is known or has departed recently."""
        return life in self.server_by_life or life in self._departures

    def _last_resort(self, service: str) -> list[BackendServer]:
        """Return the servers that seemed to have left and are registered again, without any other.

        To refuse all requests of a service until their entries have proved to last is worse than to
        use them at once.
        """
        servers = [server for server in self.server_by_life.values() if server.service == service]
        if any(self._is_usable(server) for server in servers):
            return []
        return [server for server in servers if self._is_registered_again(server)]

    def _is_registered_again(self, server: BackendServer) -> bool:
        departure = self._departures.get(server.life)
        return departure is not None and departure.seems_refuted() and self._is_entry_valid(server)

    def _is_usable(self, server: BackendServer) -> bool:
        return server.life not in self._departures and self._is_entry_valid(server)

    def _is_entry_valid(self, server: BackendServer) -> bool:
        """Return whether a server's entry is its own and names an address that is its own."""
        if self._is_missing_birth_time(server.life):
            return False
        if server.life.server_id in self._unreadable_cause_by_id:
            return False
        owner = self._owner_by_address.get(server.address)
        return owner is None or owner.life == server.life

    def _is_missing_birth_time(self, life: ServerLife) -> bool:
        """Return whether an entry has no birth time although most entries have one.

        Such an entry was written by something other than a server.
        """
        return life.born_ms is None and 2 * self._birth_time_count > len(self.server_by_life)

    def _is_newer_life(self, life: ServerLife, known: ServerLife, now_ms: int) -> bool:
        """Return whether a life replaces the known one of its server.

        A delayed report of the previous life arrives once. If it were accepted, a server that is
        gone would be back with everything that it had loaded. A life that is reported again while
        the known one is not is the newer one, whatever its birth time.
        """
        if known.born_ms is None or (life.born_ms is not None and life.born_ms > known.born_ms):
            return True
        earlier = self._earlier_life_by_id.get(life.server_id)
        if earlier is None or earlier.life != life:
            self._earlier_life_by_id[life.server_id] = _EarlierLife(life, now_ms)
            log(_LOGGER, events.EarlierLife(server=life, known=known))
            return False
        return now_ms - earlier.first_seen_ms >= EARLIER_LIFE_ACCEPT_MS

    def _replace_life(self, previous: ServerLife, life: ServerLife, now_ms: int) -> None:
        self._record_departure(previous, now_ms, f"started again as {life}", is_final=True)
        self._forget(previous)
        self._departures.forget(life)
        self._announced_lives.discard(life)
        self._restarted_ms_by_life[life] = now_ms
        self._earlier_life_by_id.pop(life.server_id, None)

    def _record_registration(self, server: BackendServer, row_version: int) -> None:
        """Record that a server has a readable entry, and that its address may belong to it now."""
        server_id = server.life.server_id
        self._earlier_life_by_id.pop(server_id, None)
        self._missing_until_ms_by_life.pop(server.life, None)
        if self._unreadable_cause_by_id.pop(server_id, None) is not None:
            self.version += 1
        if server.life not in self._departures:
            self._claim_address(server, row_version)

    def _claim_address(self, server: BackendServer, row_version: int) -> None:
        """Record that an address may belong to a server now."""
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
            self._birth_time_count += server.life.born_ms is not None
        self.server_by_life[server.life] = server
        self._life_by_id[server.life.server_id] = server.life
        self.version += 1

    def _record_departure(
        self, life: ServerLife, now_ms: int, cause: str, *, is_final: bool
    ) -> None:
        is_registered = life in self.server_by_life
        if self._departures.record(
            life, now_ms, cause, is_final=is_final, is_registered=is_registered
        ):
            self._handle_departure(life, cause)

    def _handle_departure(self, life: ServerLife, cause: str) -> None:
        self.version += 1
        log(_LOGGER, events.ServerLeaves(server=life, cause=cause))

    def _remove(self, life: ServerLife, now_ms: int, cause: str) -> None:
        self._forget(life)
        self.mark_leaving(life, now_ms, cause)

    def _forget(self, life: ServerLife) -> None:
        self._missing_until_ms_by_life.pop(life, None)
        self._restarted_ms_by_life.pop(life, None)
        self._added_ms_by_life.pop(life, None)
        server = self.server_by_life.pop(life, None)
        if server is None:
            return
        self._birth_time_count -= life.born_ms is not None
        self._removed_lives.append(life)
        del self._life_by_id[life.server_id]
        owner = self._owner_by_address.get(server.address)
        if owner is not None and owner.life == life:
            del self._owner_by_address[server.address]
        self.version += 1
