"""A request whose caller has disconnected is not sent, even after a stall of its node."""

from __future__ import annotations

import time

import gevent
from gevent import socket

from monsoonflow.transport.sockets import split_address
from tests.entry.conftest import HOST, wait_for

REQUEST = (
    b"POST /read/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 3000\r\n"
    b"X-Model: m/a1\r\nX-Token-Count: 100,20\r\nContent-Length: 6\r\n\r\nprompt"
)


def test_a_request_whose_caller_left_while_its_node_was_stalled_is_not_sent(fleet, monkeypatch):
    """A caller waits for its adapter when its node stalls, and disconnects meanwhile.

    When the node resumed, the granted slot was handled before the end of the caller's connection:
    the request was sent to a runner 4.7 s after its caller had left. The runner worked for nobody,
    and all requests behind it waited.
    """
    runner = fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    requested_adapters = []
    cell_leases = node.daemon.cell_leases
    request_slot = cell_leases.request_slot

    def stall_after_request(lease, slot_request):
        answer = request_slot(lease, slot_request)
        requested_adapters.append(slot_request["adapter"])
        caller.close()
        time.sleep(0.2)  # blocks the whole process, as when its machine is paused
        return answer

    monkeypatch.setattr(cell_leases, "request_slot", stall_after_request)
    caller = socket.create_connection(split_address(node.address))
    caller.sendall(REQUEST % HOST.encode())
    wait_for(lambda: requested_adapters)
    gevent.sleep(0.3)
    assert runner.ran["gone"] == 0
