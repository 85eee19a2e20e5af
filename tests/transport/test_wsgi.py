"""What reaches a WSGI application: the node's own interface, against raw sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import bottle
import gevent
import pytest
from gevent import socket

from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer
from monsoonflow.transport.wsgi import RAW_HEADERS, RAW_TARGET, AnswerCut, start_server
from script.ports import free_port
from tests.transport.test_server import REFUSED, SECOND

LIMITS = MessageLimits(body_bytes=1_000)


@attrs.define
class Served:
    """An application behind a port, with the environments that reached it."""

    number: int
    seen: list[dict]

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return all that comes until the port closes."""
        sock = socket.create_connection(("127.0.0.1", self.number), timeout=3)
        sock.sendall(data)
        got = b""
        while piece := sock.recv(65_536):
            got += piece
        sock.close()
        return got


@pytest.fixture
def serve() -> Iterator[Callable[[Callable], Served]]:
    """Return a function that serves an application."""
    ports: list[HttpServer] = []

    def start(app: Callable) -> Served:
        number = free_port()
        seen: list[dict] = []

        def noting(environ: dict, start_response: Callable) -> object:
            seen.append(environ)
            return app(environ, start_response)

        port = start_server(f"127.0.0.1:{number}", noting, limits=LIMITS)
        assert port is not None
        ports.append(port)
        return Served(number, seen)

    with gevent.Timeout(20):
        yield start
    for port in ports:
        port.stop_listening()


def echo(environ: dict, start_response: Callable) -> list[bytes]:
    """Answer with the body that came."""
    start_response("200 OK", [("X-Kind", "echo")])
    return [environ["wsgi.input"].read()]


def request(line: bytes, *headers: bytes, body: bytes = b"") -> bytes:
    """Return the bytes of a request after which the connection ends."""
    told = [line + b" HTTP/1.1", b"Host: h", b"Connection: close", *headers]
    if body:
        told.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(told) + b"\r\n\r\n" + body


@pytest.mark.parametrize("name", REFUSED)
def test_what_two_readers_could_understand_differently_never_reaches_the_application(serve, name):
    """A second request hidden in a first one would run under the first caller's key.

    It gets a 4xx and a closed connection; the application is not called.
    """
    served = serve(echo)
    answer = served.exchange(REFUSED[name] + SECOND)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert served.seen == []


def test_target_and_headers_are_known_as_sent(serve):
    """The path that WSGI defines is decoded: passed on from there, a call leads elsewhere."""
    served = serve(echo)
    served.exchange(request(b"GET /a%2Fb//c/%e2?x=%20", b"X-B: 1", b"x-a: 2", b"X-B: 3"))
    environ = served.seen[0]
    assert environ["PATH_INFO"] == "/a/b//c/\xe2"
    assert environ[RAW_TARGET] == b"/a%2Fb//c/%e2?x=%20"
    assert [value for name, value in environ[RAW_HEADERS] if name == b"X-B"] == [b"1", b"3"]


def test_a_header_that_only_resembles_another_is_not_taken_for_it(serve):
    """`X_Node_Token` becomes the same name as `X-Node-Token` in WSGI's environment."""
    served = serve(echo)
    served.exchange(request(b"GET /", b"X_Node_Token: forged"))
    assert "HTTP_X_NODE_TOKEN" not in served.seen[0]


def test_bodies_go_both_ways(serve):
    answer = serve(echo).exchange(request(b"POST /", body=b"abc"))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\nX-Kind: echo\r\n")
    assert answer.endswith(b"3\r\nabc\r\n0\r\n\r\n")


def test_a_body_beyond_the_limit_is_refused_before_it_comes(serve):
    served = serve(echo)
    answer = served.exchange(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert served.seen == []


def test_an_answer_that_is_cut_does_not_look_complete(serve):
    """A server's answer breaks off half-way: its caller must see that the end is missing."""

    def cut(environ: dict, start_response: Callable) -> Iterator[bytes]:
        start_response("200 OK", [])
        yield b"half"
        raise AnswerCut

    answer = serve(cut).exchange(request(b"GET /"))
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_an_answer_to_head_has_the_length_and_no_body(serve):
    def sized(environ: dict, start_response: Callable) -> list[bytes]:
        start_response("200 OK", [("Content-Length", "7")])
        return []

    answer = serve(sized).exchange(request(b"HEAD /"))
    assert b"Content-Length: 7\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")


def test_a_fault_of_the_application_is_answered(serve):
    """Bottle answers for its routes; a fault outside them ends in a 500, not in silence."""

    def broken(environ: dict, start_response: Callable) -> list[bytes]:
        raise ValueError("fault")

    assert serve(broken).exchange(request(b"GET /")).startswith(b"HTTP/1.1 500 ")


def test_a_bottle_application_is_served(serve):
    app = bottle.Bottle()
    app.get("/say/<word>", callback=lambda word: word)
    answer = serve(app).exchange(request(b"GET /say/hello"))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and b"hello" in answer
