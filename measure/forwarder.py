"""Counts the bytes that pass between two processes."""

from __future__ import annotations

import socket
import threading


class CountingForwarder:
    """Forwards every connection to a target and counts bytes in both directions."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.passed = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            server = socket.create_connection(self._target)
            for source, sink in ((caller, server), (server, caller)):
                threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                self.passed += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return
