"""Lets a node of the soak connect from its own address, and not at all while it is partitioned.

Python loads this module at the start of the node's process. A link on loopback can neither tell
nodes apart by their address nor leave the opening packet of a connection unanswered.
"""

from __future__ import annotations

import errno
import os
import socket as native
from pathlib import Path

from gevent import sleep, socket

OWN_ADDRESS = os.environ["SOAK_NODE_ADDRESS"]
PARTITION_FILE = Path(os.environ["SOAK_PARTITION_FILE"])
SERVERS_ADDRESS = "127.0.0.1"
DEFAULT_TIMEOUT_S = 60.0

_connect = socket.socket.connect


def connect(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connect from the node's address, unless the node is partitioned from the servers."""
    if sock.type & native.SOCK_STREAM and address[0].startswith("127."):
        if address[0] == SERVERS_ADDRESS and PARTITION_FILE.exists():
            mode, store_port = PARTITION_FILE.read_text().split()
            if address[1] != int(store_port):
                _fail(sock, mode)
        sock.setsockopt(native.IPPROTO_IP, 24, 1)  # IP_BIND_ADDRESS_NO_PORT
        sock.bind((OWN_ADDRESS, 0))
    _connect(sock, address)


def _fail(sock: socket.socket, mode: str) -> None:
    if mode == "refuses":
        raise ConnectionRefusedError(errno.ECONNREFUSED, "partitioned")
    sleep(DEFAULT_TIMEOUT_S if sock.gettimeout() is None else sock.gettimeout())
    raise TimeoutError("partitioned")


socket.socket.connect = connect
