"""Runs links as a process: each passes connections on, and can reset, silence or hold them."""

from __future__ import annotations

import argparse
import contextlib
import socket as native
from enum import StrEnum
from typing import Final

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

from monsoonflow.transport.sockets import RESET_AT_CLOSE
from stand_ins.commands import follow, record

READ_BYTES: Final = 65_536


class Mode(StrEnum):
    """What a link does with connections.

    ``OLD_SILENT``: those that are open pass nothing more, for good; new ones work.
    ``SILENT``: nothing passes, also on new ones, until the link works again; what came is lost.
    ``REFUSES``: open ones are reset and new ones too.
    """

    WORKS = "works"
    OLD_SILENT = "old_silent"
    SILENT = "silent"
    REFUSES = "refuses"


@attrs.define(eq=False)
class ForwardedConnection:
    """One connection through a link."""

    caller: socket.socket
    server: socket.socket
    silent: bool = False
    caller_ip: str = ""

    def close(self, reset: bool) -> None:
        """End both sides."""
        for sock in (self.caller, self.server):
            if reset:
                with contextlib.suppress(OSError):
                    sock.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
            sock.close()


class Link:
    """Passes the connections that come to one address on to another."""

    def __init__(self, listen: str, target: str) -> None:
        self._target = target
        self._mode = Mode.WORKS
        self._connections: set[ForwardedConnection] = set()
        host, _, port = listen.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(native.SOL_SOCKET, native.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(1_024)
        self._server = StreamServer(listener, self._accept)
        self._server.start()

    def set(self, mode: Mode) -> None:
        """Change what the link does."""
        self._mode = Mode.WORKS if mode is Mode.OLD_SILENT else mode
        for connection in list(self._connections):
            match mode:
                case Mode.OLD_SILENT | Mode.SILENT:
                    connection.silent = True
                case Mode.REFUSES:
                    connection.close(reset=True)

    def reset(self) -> None:
        """Reset what is open; new connections work."""
        for connection in list(self._connections):
            connection.close(reset=True)

    def cut(self, caller_ip: str, mode: Mode) -> None:
        """Silence or reset the open connections of one caller."""
        for connection in list(self._connections):
            if connection.caller_ip != caller_ip:
                continue
            if mode is Mode.REFUSES:
                connection.close(reset=True)
            else:
                connection.silent = True

    def _accept(self, caller: socket.socket, address: tuple[str, int]) -> None:
        if self._mode is Mode.REFUSES:
            caller.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
            caller.close()
            return
        host, _, port = self._target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)))
        except OSError:
            caller.setsockopt(native.SOL_SOCKET, native.SO_LINGER, RESET_AT_CLOSE)
            caller.close()
            return
        for sock in (caller, server):
            sock.setsockopt(native.IPPROTO_TCP, native.TCP_NODELAY, 1)
        connection = ForwardedConnection(caller, server, self._mode is Mode.SILENT, address[0])
        self._connections.add(connection)
        pumps = [
            gevent.spawn(self._pump, connection, caller, server),
            gevent.spawn(self._pump, connection, server, caller),
        ]
        gevent.joinall(pumps)
        self._connections.discard(connection)
        connection.close(reset=False)

    def _close_if_target_is_gone(self) -> None:
        """Refuse new connections, as the machine of a server that has ended does."""
        host, _, port = self._target.rpartition(":")
        try:
            socket.create_connection((host, int(port))).close()
        except ConnectionRefusedError:
            self._server.stop()
        except OSError:
            # A target that is too busy to accept has not ended.
            return

    def _pump(
        self, connection: ForwardedConnection, source: socket.socket, sink: socket.socket
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not connection.silent:
                    sink.sendall(data)
            if source is connection.server:
                self._close_if_target_is_gone()
            if not connection.silent:
                sink.shutdown(native.SHUT_WR)
        except OSError:
            if source is connection.server and not connection.silent:
                self._close_if_target_is_gone()
            # A close would complete an answer that is to end with its connection.
            if not connection.silent:
                connection.close(reset=True)


def main() -> None:
    """Pass connections on until the commands end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    links: dict[str, Link] = {}

    def add(name: str, listen: str, target: str) -> None:
        links[name] = Link(listen, target)
        record("link", name=name)

    follow(
        {
            "add": add,
            "set": lambda name, mode: links[name].set(Mode(mode)),
            "reset": lambda name: links[name].reset(),
            "cut": lambda names, caller_ip, mode: [
                links[name].cut(caller_ip, Mode(mode)) for name in names
            ],
        }
    )


if __name__ == "__main__":
    main()
