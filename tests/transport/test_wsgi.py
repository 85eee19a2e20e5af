"""Tests with raw sockets of what reaches a WSGI application and how its answers are sent."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import bottle
import gevent
import pytest
from gevent import socket

from monsoonflow.transport.held_bytes import DEFAULT_MEMORY_BYTES, REQUESTS_SHARE
from monsoonflow.transport.models import MessageLimits
from monsoonflow.transport.server import HttpServer
from monsoonflow.transport.wsgi import (
    ENDS_WITH_CONNECTION,
    LINE_BYTES,
    RAW_HEADERS,
    RAW_TARGET,
    AnswerCut,
    start_server,
)
from script.ports import free_port
from tests.transport.test_server import REJECTED_REQUESTS, SECOND_REQUEST

LIMITS = MessageLimits(body_bytes=1_000)


@attrs.define
class ServedApplication:
    """An application behind a server, with the WSGI environments that reached it."""

    port: int
    environs: list[dict]

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and return everything received until the server closes."""
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=3)
        sock.sendall(data)
        received = b""
        while piece := sock.recv(65_536):
            received += piece
        sock.close()
        return received


@pytest.fixture
def serve() -> Iterator[Callable[[Callable], ServedApplication]]:
    """Return a function that serves an application."""
    servers: list[HttpServer] = []

    def start(app: Callable) -> ServedApplication:
        port = free_port()
        environs: list[dict] = []

        def record_environ(environ: dict, start_response: Callable) -> object:
            environs.append(environ)
            return app(environ, start_response)

        server = start_server(f"127.0.0.1:{port}", record_environ, limits=LIMITS)
        assert server is not None
        servers.append(server)
        return ServedApplication(port, environs)

    with gevent.Timeout(20):
        yield start
    for server in servers:
        server.stop_listening()


def echo(environ: dict, start_response: Callable) -> list[bytes]:
    """Answer with the body of the request."""
    start_response("200 OK", [("X-Kind", "echo")])
    return [environ["wsgi.input"].read()]


def request(line: bytes, *headers: bytes, body: bytes = b"") -> bytes:
    """Return the bytes of a request that asks to close the connection."""
    lines = [line + b" HTTP/1.1", b"Host: h", b"Connection: close", *headers]
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.mark.parametrize("name", REJECTED_REQUESTS)
def test_ambiguous_or_malformed_requests_never_reach_the_application(serve, name):
    """A second request hidden in another one would run with the key of the first caller.

    The server answers 400 and closes the connection; the application is not called.
    """
    served = serve(echo)
    answer = served.exchange(REJECTED_REQUESTS[name] + SECOND_REQUEST)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert served.environs == []


def test_the_environment_has_target_and_headers_as_sent(serve):
    """WSGI decodes the path; a call forwarded to the decoded path may reach another resource."""
    served = serve(echo)
    served.exchange(request(b"GET /a%2Fb//c/%e2?x=%20", b"X-B: 1", b"x-a: 2", b"X-B: 3"))
    environ = served.environs[0]
    assert environ["PATH_INFO"] == "/a/b//c/\xe2"
    assert environ[RAW_TARGET] == b"/a%2Fb//c/%e2?x=%20"
    assert [value for name, value in environ[RAW_HEADERS] if name == b"X-B"] == [b"1", b"3"]


def test_a_header_name_with_underscores_is_ignored(serve):
    """`X_Node_Token` becomes the same name as `X-Node-Token` in WSGI's environment."""
    served = serve(echo)
    served.exchange(request(b"GET /", b"X_Node_Token: forged"))
    assert "HTTP_X_NODE_TOKEN" not in served.environs[0]


def test_bodies_of_request_and_answer_are_transferred(serve):
    answer = serve(echo).exchange(request(b"POST /", body=b"abc"))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\nX-Kind: echo\r\n")
    assert answer.endswith(b"3\r\nabc\r\n0\r\n\r\n")


def test_a_body_beyond_the_limit_is_rejected_before_it_is_received(serve):
    served = serve(echo)
    answer = served.exchange(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert served.environs == []


def test_an_aborted_answer_does_not_look_complete(serve):
    """A server's answer breaks off half-way; the caller must see that its end is missing."""

    def abort(environ: dict, start_response: Callable) -> Iterator[bytes]:
        start_response("200 OK", [])
        yield b"half"
        raise AnswerCut

    answer = serve(abort).exchange(request(b"GET /"))
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("error", [AnswerCut, ValueError])
def test_an_aborted_answer_that_ends_with_its_connection_is_reset(serve, error):
    """An orderly close would be the end of the whole answer."""

    def abort(environ: dict, start_response: Callable) -> Iterator[bytes]:
        environ[ENDS_WITH_CONNECTION] = True
        start_response("200 OK", [])
        yield b"half"
        raise error

    with pytest.raises(ConnectionResetError):
        serve(abort).exchange(request(b"GET /"))


def test_an_answer_that_ends_with_its_connection_has_neither_a_length_nor_chunks(serve):
    def answer(environ: dict, start_response: Callable) -> list[bytes]:
        environ[ENDS_WITH_CONNECTION] = True
        start_response("200 OK", [])
        return [b"all", b" of it"]

    head, _, body = serve(answer).exchange(request(b"GET /")).partition(b"\r\n\r\n")
    assert body == b"all of it"
    assert b"transfer-encoding" not in head.lower() and b"content-length" not in head.lower()


def test_an_answer_whose_application_fails_does_not_look_complete(serve):
    """A fault in this program in the middle of a stream must not end its chunks."""

    def fail(environ: dict, start_response: Callable) -> Iterator[bytes]:
        start_response("200 OK", [])
        yield b"half"
        raise ValueError("fault")

    answer = serve(fail).exchange(request(b"GET /"))
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_an_answer_shorter_than_its_length_closes_the_connection(serve):
    """Kept open, the connection would give the caller the next answer as the rest of this one."""

    def answer(environ: dict, start_response: Callable) -> list[bytes]:
        start_response("200 OK", [("Content-Length", "9")])
        return [b"half"]

    keep_alive = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    assert serve(answer).exchange(keep_alive * 2).count(b"HTTP/1.1 200 OK") == 1


def test_an_answer_to_head_has_a_length_and_no_body(serve):
    def answer_with_length(environ: dict, start_response: Callable) -> list[bytes]:
        start_response("200 OK", [("Content-Length", "7")])
        return []

    answer = serve(answer_with_length).exchange(request(b"HEAD /"))
    assert b"Content-Length: 7\r\n" in answer
    assert answer.endswith(b"\r\n\r\n")


def test_an_exception_in_the_application_is_answered_with_500(serve):
    """Bottle handles exceptions in its routes; one outside them is answered with a 500."""

    def fail(environ: dict, start_response: Callable) -> list[bytes]:
        raise ValueError("fault")

    assert serve(fail).exchange(request(b"GET /")).startswith(b"HTTP/1.1 500 ")


def test_a_bottle_application_is_served(serve):
    app = bottle.Bottle()
    app.get("/say/<word>", callback=lambda word: word)
    answer = serve(app).exchange(request(b"GET /say/hello"))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and b"hello" in answer


def test_applications_hold_a_bounded_number_of_heads_of_many_lines(serve):
    """An application is given several objects for each line: a head of 16 KB takes a megabyte."""
    release = gevent.event.Event()

    def wait(environ: dict, start_response: Callable) -> list[bytes]:
        release.wait(10)
        return echo(environ, start_response)

    running = serve(wait)
    lines = b"".join(b"n%d:\r\n" % number for number in range(1_900))
    head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + lines + b"\r\n"
    tasks = [gevent.spawn(running.exchange, head) for _ in range(60)]
    gevent.sleep(1)
    held_bytes = len(running.environs) * 1_900 * LINE_BYTES
    assert 0 < held_bytes <= 2 * REQUESTS_SHARE * DEFAULT_MEMORY_BYTES
    release.set()
    statuses = {task.get()[9:12] for task in tasks}
    assert statuses == {b"200", b"503"}
