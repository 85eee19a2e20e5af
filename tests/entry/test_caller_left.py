"""A request whose caller has left goes nowhere, however busy its node was."""

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


def test_a_request_whose_caller_left_while_its_node_stood_still_is_not_sent(fleet, monkeypatch):
    """A caller waits for its adapter; its node stands still, and the caller leaves meanwhile.

    When the node goes on, the answer that places the request and the end of the caller's connection
    are both there, and the answer came first: the request went to a runner 4.7 s after its caller
    had left. The runner worked for nobody, and all behind it waited for that.
    """
    runner = fleet.runner("i-1")
    node = fleet.node()
    fleet.holder()
    waiting = []
    duties = node.daemon.cell_leases
    request_slot = duties.request_slot

    def stand_still(duty, question):
        found = request_slot(duty, question)
        waiting.append(question["adapter"])
        caller.close()
        time.sleep(0.2)  # the whole process: nothing else runs, as when its machine is paused
        return found

    monkeypatch.setattr(duties, "request_slot", stand_still)
    caller = socket.create_connection(split_address(node.address))
    caller.sendall(REQUEST % HOST.encode())
    wait_for(lambda: waiting)
    gevent.sleep(0.3)
    assert runner.ran["gone"] == 0
