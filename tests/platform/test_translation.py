"""Tests of the translation of the platform's settings, rows, headers, store and runner calls."""

from __future__ import annotations

import copy

import attrs
import gevent
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoonflow.core.adapter import AdapterRef
from monsoonflow.core.clock import MonotonicClock
from monsoonflow.core.server_life import ServerLife
from monsoonflow.gateway.models import ForwardedRequest, Handover, Malformed
from monsoonflow.helpers.keys import MAX_KEY_CHARS
from monsoonflow.helpers.settings import SettingError
from monsoonflow.orders.models import (
    Accepted,
    Gone,
    Operation,
    Order,
    Stale,
    Superseded,
    Unusable,
)
from monsoonflow.platform.configuration import decode_adapter_version, decode_route_table
from monsoonflow.platform.engine import PlatformRunnerControl
from monsoonflow.platform.headers import HeaderDialect
from monsoonflow.platform.servers import decode_server
from monsoonflow.platform.settings import SettingsFile, read_settings
from monsoonflow.platform.store import PlatformStore
from monsoonflow.routing.routes import RouteKind
from monsoonflow.routing.server_limits import InvalidLimit, NamedLimit
from monsoonflow.storage.models import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Transaction,
    Unavailable,
)
from monsoonflow.transport.models import AnswerHead, Request
from script.ports import free_port
from stand_ins.platform_runner import PlatformRunner
from stand_ins.platform_store import CLOCK_OFFSET_MS
from stand_ins.platform_store import PlatformStore as StoreStandIn
from tests.entry.conftest import CONFIG

SETTINGS = """
nodeName = "n1"
bindIp = "10.1.0.38"
zone = "z-1"
region = "r"
portRange = [7380, 7395]
seedNodes = ["10.1.0.38:8144", "10.2.0.40:8144"]
somethingNew = [1, 2]
[listenAddrs]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
control = "10.1.0.38:8144"
directory = "10.1.0.38:8143"
[contractParams]
leaseMs = 3500
graceS = 8
requireFence = true
budgetRatio = 0.25
[platform]
address = "10.200.1.7:8142"
historyS = 20
"""


def write_settings(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return str(path)


def test_settings_file_is_decoded(tmp_path):
    settings = read_settings(write_settings(tmp_path, SETTINGS), 9464)
    assert (settings.name, settings.data_centre) == ("n1", "z-1")
    assert settings.callers_address == "10.1.0.38:8149"
    assert settings.peer_address == "10.1.0.38:8144"
    assert settings.report_address == "10.1.0.38:7380"
    assert (settings.bounds.lease_ms, settings.bounds.grace_ms) == (3_500, 8_000)
    assert settings.bounds.fenced
    assert settings.bounds.retry_ratio == 0.25


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ('nodeName = "n1"', ""),
        ('front = "10.1.0.38:8149"', 'front = "nowhere"'),
        ("leaseMs = 3500", "leaseMs = 0"),
        ("leaseMs = 3500", 'leaseMs = "soon"'),
        ("[platform]", "[platform"),
        ("portRange = [7380, 7395]", "portRange = []"),
    ],
)
def test_invalid_setting_gives_an_error_of_one_line(tmp_path, before, after):
    error = read_settings(write_settings(tmp_path, SETTINGS.replace(before, after)), 9464)
    assert isinstance(error, SettingError)
    assert "\n" not in error.line()


@pytest.mark.parametrize(
    ("limits", "cores"),
    [
        ("", 1.0),
        ("[limits]\ncpuShare = 0.5\ncpuCores = 3", 1.5),
        ("[limits]\ncpuShare = 0.5", 0.5),
        ("[limits]\ncpuShare = 'much'\ncpuCores = 2", 2.0),
        ("[limits]\ncpuShare = nan\ncpuCores = -2", 1.0),
        ("[limits]\ncpuShare = inf\ncpuCores = true", 1.0),
        ("[limits]\ncpuShare = 1e300\ncpuCores = 1e300", 1_024.0),
    ],
)
def test_cores_are_read_and_invalid_limits_have_defaults(tmp_path, limits, cores):
    settings = read_settings(write_settings(tmp_path, SETTINGS + limits), 9464)
    assert settings.cores == cores


def test_missing_settings_file_gives_an_error(tmp_path):
    assert isinstance(read_settings(str(tmp_path / "none"), 9464), SettingError)


def test_settings_are_read_again_only_if_the_file_has_changed(tmp_path):
    path = write_settings(tmp_path, SETTINGS)
    file = SettingsFile(path, 9464)
    assert file.read().bounds.lease_ms == 3_500
    assert file.reread() is None
    write_settings(tmp_path, SETTINGS.replace("3500", "30000"))
    assert file.reread().bounds.lease_ms == 30_000


def test_routes_and_services_are_decoded():
    table = decode_route_table(orjson.dumps(CONFIG))
    route = table.match("h.example", "/read/x")
    assert route.kind is RouteKind.STREAM
    assert (route.is_resumable, route.is_repeatable, route.max_event_gap_ms) == (True, True, 400)
    assert not table.match("h.example", "/once/x").is_repeatable
    assert not table.match("h.example", "/write/x").is_repeatable
    assert table.service_by_name["llm"].engine.find_model("m").memory_mb == 34_300
    assert table.limits.body_bytes == 100_000


def test_traffic_split_follows_the_weights():
    import random

    config = copy.deepcopy(CONFIG)
    config["routes"][0].pop("service")
    config["routes"][0]["trafficSplit"] = [
        {"service": "plain", "weight": 90},
        {"service": "llm", "weight": 10},
        {"service": "none", "weight": 0},
    ]
    route = decode_route_table(orjson.dumps(config)).match("h.example", "/look/x")
    rng = random.Random(1)
    chosen = [route.choose_service(rng) for _ in range(1_000)]
    assert 850 < chosen.count("plain") < 950
    assert "none" not in chosen


@given(
    st.recursive(
        st.none() | st.integers(-9, 9) | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["routes", "services", "version", "host"]), inner, max_size=3
        ),
        max_leaves=10,
    )
)
@settings(max_examples=200, derandomize=True)
def test_no_row_raises_in_a_decoder(value):
    body = orjson.dumps(value)
    decode_route_table(body)
    decode_adapter_version(body)
    decode_server("i", body)


def test_adapter_version_is_decoded():
    body = orjson.dumps({"model": "m", "adapter": "a7", "version": 3})
    assert decode_adapter_version(body) == AdapterRef("m/a7", 3)


def test_server_row_is_decoded():
    body = orjson.dumps(
        {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "slots": 96,
            "state": "draining",
            "version": "v1",
            "coldRemainingMs": 0,
            "sequence": 3,
            "remainingMs": 1_500,
            "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
        }
    )
    server = decode_server("i-1", body)
    assert server.is_leaving
    assert server.leaving_in_ms == 1_500
    assert server.models[0].adapters == (AdapterRef("m/a1", 2),)


def create_request(*headers, body=b""):
    all_headers = [(b"Host", b"h"), (b"X-Request-Id", b"r1"), *headers]
    return Request(b"POST", b"/a/b?c=1", "1.1", all_headers, body, True, 0)


def test_call_is_read_from_the_headers():
    call = HeaderDialect().read_call(
        create_request(
            (b"X-Model", b"m/a17"),
            (b"X-Token-Count", b"1460,80"),
            (b"X-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
            (b"X-Deadline-Ms", b"4000"),
            (b"Last-Event-Id", b"12"),
        )
    )
    assert (call.model, call.adapter) == ("m", "m/a17")
    assert (call.prompt_tokens, call.max_output_tokens) == (1_460, 80)
    assert (call.session, call.deadline_ms, call.last_event_id) == ("e4402b7d", 4_000, b"12")
    assert call.prompt_parts == ("5c1e07a2", "91bd3f06")
    assert call.path == "/a/b"


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Request-Id", b"r2"),
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Deadline-Ms", b"1e999"),
        (b"X-Deadline-Ms", b"inf"),
        (b"X-Token-Count", b"a,b"),
        (b"X-Model", b"\xff"),
    ],
)
def test_call_with_an_invalid_header_is_malformed(header):
    assert isinstance(HeaderDialect().read_call(create_request(header)), Malformed)


def test_the_attempt_that_began_a_stream_is_read_and_forwarded_unchanged():
    """A server or a peer that does not get it can't tell which stream is taken up again."""
    dialect = HeaderDialect()
    request = create_request(
        (b"Resumes", b"r0"), (b"Last-Event-Id", b"3"), (b"Connection", b"Resumes")
    )
    call = dialect.read_call(request)
    assert (call.resumed_request_id, call.stream_id, call.resumes_stream) == ("r0", "r0", True)
    to_server = dialect.forwarded_head(request, ForwardedRequest(1_234, ServerLife("i-1")))
    to_peer = dialect.peer_head(request, Handover(5, 0), b"3")
    assert b"\r\nResumes: r0\r\n" in to_server and b"\r\nResumes: r0\r\n" in to_peer


@pytest.mark.parametrize("header", [(b"Resumes", b"r0"), (b"Last-Event-Id", b"")])
def test_a_call_without_events_resumes_no_stream(header):
    """A caller that has no event yet begins a stream of its own."""
    call = HeaderDialect().read_call(create_request(header))
    assert (call.resumes_stream, call.stream_id) == (False, "r1")


@pytest.mark.parametrize("version", ["v1", "1.2 (beta)", "a\r\nX-Hold: 1", "vé", "%41"])
def test_the_software_version_of_a_stream_is_told_between_nodes(version):
    """Any text may be a version: with a line break, it could add a header."""
    dialect = HeaderDialect()
    head = dialect.peer_head(create_request(), Handover(5, 1, version), None).decode()
    headers = [tuple(line.encode().split(b": ", 1)) for line in head.split("\r\n")[1:-2]]
    assert not any(name == b"X-Hold" for name, _ in headers)
    received = attrs.evolve(create_request(), headers=headers)
    assert dialect.read_handover(received) == Handover(5, 1, version)
    answer = AnswerHead(200, b"OK", dialect.stream_version_headers(version), None, True)
    assert dialect.read_answer(answer).software_version == version
    assert dialect.forwarded_headers(answer) == []


def test_peers_of_an_earlier_release_name_no_software_version():
    dialect = HeaderDialect()
    request = create_request((b"X-Monsoonflow-Forwarded", b"5,1"))
    assert dialect.read_handover(request) == Handover(5, 1, None)
    assert dialect.read_answer(AnswerHead(200, b"OK", [], None, True)).software_version is None


def test_callers_can_not_name_the_software_version_of_a_stream():
    """A caller could have its stream go on at another version."""
    dialect = HeaderDialect()
    request = create_request((b"X-Monsoonflow-Software-Version", b"v9"))
    forwarded = dialect.forwarded_head(request, ForwardedRequest(1_234, ServerLife("i-1")))
    assert b"v9" not in forwarded
    assert b"v9" not in dialect.peer_head(request, Handover(5, 0), None)


def test_a_call_that_names_two_resumed_attempts_is_malformed():
    """Of two attempts it would be open which one began the stream."""
    dialect = HeaderDialect()
    once = create_request((b"Resumes", b"r0"))
    twice = create_request((b"Resumes", b"r0"), (b"resumes", b"r1"))
    assert not isinstance(dialect.read_call(once), Malformed)
    assert isinstance(dialect.read_call(twice), Malformed)


def test_forwarded_head_keeps_headers_of_the_caller_and_adds_those_of_the_node():
    head = HeaderDialect().forwarded_head(
        create_request(
            (b"X-a", b"1"), (b"Connection", b"close"), (b"Last-Event-Id", b"3"), body=b"xy"
        ),
        ForwardedRequest(1_234, ServerLife("i-1"), rank=2, expect_version=4, last_event_id=b"9"),
    )
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=1 HTTP/1.1"
    assert "X-a: 1" in lines
    assert not [line for line in lines if line.lower().startswith("connection")]
    for line in ("X-Deadline-Ms: 1234", "X-Expect-Instance: i-1", "X-Request-Priority: 2"):
        assert line in lines
    assert "X-Expect-Version: 4" in lines
    assert [line for line in lines if line.startswith("Last-Event")] == ["Last-Event-Id: 9"]
    assert "Content-Length: 2" in lines


def test_only_the_header_or_status_421_says_that_a_request_did_not_run():
    dialect = HeaderDialect()

    def read_answer(status, *headers):
        return dialect.read_answer(AnswerHead(status, b"", list(headers), 0, False))

    assert read_answer(503, (b"X-Not-Executed", b"1")).not_run
    assert read_answer(421).not_run
    assert not read_answer(503).not_run
    assert not read_answer(429).not_run


@pytest.fixture
def store():
    stand_in = StoreStandIn(f"127.0.0.1:{free_port()}")
    stand_in.start()
    with gevent.Timeout(15):
        yield stand_in
    stand_in.stop()


def test_transaction_is_committed_only_if_its_condition_holds(store):
    client = PlatformStore(store.address, MonotonicClock())
    first = client.commit_once(Transaction("op-1", {"k": 0}, {"k": {"v": 1}}))
    assert isinstance(first, Committed)
    assert isinstance(client.commit_once(Transaction("op-2", {"k": 0}, {"k": {}})), Conflict)
    row = client.get("k")
    assert (row.value["v"], row.value["op"], row.version) == (1, "op-1", first.version)
    assert client.get("other") is None
    store.faults.down = True
    result = client.commit_once(Transaction("op-3", {}, {"k": {}}))
    assert isinstance(result, Unavailable)
    assert not result.ambiguous


def test_commit_without_an_answer_is_ambiguous(store):
    client = PlatformStore(store.address, MonotonicClock())
    store.faults.lose = 1
    result = client.commit_once(Transaction("op-1", {"k": 0}, {"k": {"v": 1}}))
    assert isinstance(result, Unavailable)
    assert result.ambiguous


def test_changes_are_returned_until_the_history_is_lost(store):
    client = PlatformStore(store.address, MonotonicClock())
    store.put("op", "a", {"x": 1})
    all_rows = client.read_all("op")
    assert [row.key for row in all_rows.rows] == ["a"]
    gevent.spawn_later(0.1, store.remove, "op", "a")
    changes = client.changes("op", all_rows.version, 2_000)
    assert isinstance(changes, Changes)
    assert [(row.key, row.body) for row in changes.rows] == [("a", None)]
    store.forget_history()
    assert isinstance(client.changes("op", 0, 100), HistoryLost)


def test_answers_about_rows_state_the_stores_clock(store):
    client = PlatformStore(store.address, MonotonicClock())
    store.put("op", "a", {"x": 1})
    first = client.read_all("op")
    gevent.sleep(0.02)
    later = client.changes("op", 0, 0)
    assert CLOCK_OFFSET_MS < first.service_now_ms < later.service_now_ms


def test_waiting_request_for_changes_can_be_cancelled_and_sent_again(store):
    """A request to an unresponsive store would wait for 20 s, even if the store has recovered."""
    client = PlatformStore(store.address, MonotonicClock())
    store.faults.silent = True
    gevent.spawn_later(0.1, client.cancel_request)
    started_ms = MonotonicClock().now_ms()
    assert isinstance(client.changes("op", 0, 20_000, 1_500), Unavailable)
    assert MonotonicClock().now_ms() - started_ms < 1_000
    store.faults.silent = False
    store.put("op", "a", {"x": 1})
    assert [row.key for row in client.changes("op", 0, 0, 1_500).rows] == ["a"]


def test_malformed_row_is_skipped(store):
    store.put("op", "good", {"x": 1})
    store.rows["op", "bad"] = (store.version, "%")
    all_rows = PlatformStore(store.address, MonotonicClock()).read_all("op")
    assert [row.key for row in all_rows.rows] == ["good"]


def test_orders_are_sent_and_reports_are_fetched():
    runner = PlatformRunner("i-1", f"127.0.0.1:{free_port()}", "llm", "m")
    runner.start()
    control = PlatformRunnerControl(MonotonicClock())
    order = Order(Operation.LOAD, "m/a1", None, 0, "n1", 5)
    try:
        assert control.send_order(ServerLife("i-1"), runner.address, order) == Accepted(
            complete=False
        )
        assert isinstance(control.send_order(ServerLife("i-1"), runner.address, order), Stale)
        next_order = attrs.evolve(order, sequence=1)
        assert control.send_order(ServerLife("i-1"), runner.address, next_order) == Accepted(
            complete=True
        )
        superseded_order = attrs.evolve(next_order, fence=4)
        assert (
            control.send_order(ServerLife("i-1"), runner.address, superseded_order) == Superseded()
        )
        assert control.send_order(ServerLife("i-2"), runner.address, next_order) == Gone()
        assert isinstance(
            control.send_order(ServerLife("i-2"), "127.0.0.1:1", next_order), Unusable
        )
        report = control.fetch_report(ServerLife("i-1"), runner.address)
        assert report.sequence == 1
        assert report.models[0].adapters == (AdapterRef("m/a1", 1),)
        assert control.fetch_report(ServerLife("i-2"), runner.address) == Gone()
        assert control.fetch_report(ServerLife("i-1"), "127.0.0.1:1") is None
    finally:
        runner.stop()


@pytest.mark.parametrize("server_id", ["i-1", "another"])
def test_answers_to_reports_and_orders_say_that_their_runner_leaves(server_id):
    runner = PlatformRunner("i-1", f"127.0.0.1:{free_port()}", "llm", "m")
    runner.faults.leaving = True
    runner.start()
    leaving = []
    control = PlatformRunnerControl(MonotonicClock(), lambda life, _source: leaving.append(life))
    life = ServerLife(server_id)
    try:
        control.fetch_report(life, runner.address)
        control.send_order(life, runner.address, Order(Operation.LOAD, "m/a1", None, 0, "n1", 5))
    finally:
        runner.stop()
    assert leaving == ([life, life] if server_id == "i-1" else [])


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        ([b"1.3"], NamedLimit(1.3)),
        ([b" 200 "], NamedLimit(200.0)),
        ([b"0"], NamedLimit(0.0)),
        *(
            ([value], InvalidLimit(value.decode("latin-1")))
            for value in (b"", b"nan", b"inf", b"-1", b"+1", b"1e9", b"1,5", b"1 5", b"1" * 40)
        ),
        ([b"1", b"2"], InvalidLimit("1, 2")),
        ([b"1" * 100], InvalidLimit("1" * 40)),
        ([b"\xb2"], InvalidLimit("\xb2")),
    ],
)
def test_a_limit_that_a_server_names_is_read_strictly(values, limit):
    headers = [(b"Server-Limit", value) for value in values]
    terms = HeaderDialect().read_answer(AnswerHead(503, b"", headers, 0, False))
    assert terms.limit == limit


LONG_VALUES = [b"%d" % number + b"k" * 16_000 for number in (1, 1, 2)]


@pytest.mark.parametrize(
    ("header", "read_key"),
    [
        ((b"X-Request-Id", b"%s"), lambda call: call.stream_id),
        ((b"Resumes", b"%s"), lambda call: call.stream_id),
        ((b"X-Model", b"m/%s"), lambda call: call.adapter),
        ((b"X-Model", b"%s"), lambda call: call.model),
        ((b"X-Prompt-Prefix", b"5c1e:8,%s:250"), lambda call: call.session),
    ],
)
def test_keys_that_outlive_a_request_have_a_bounded_length(header, read_key):
    """Twenty thousand streams with ids of 16 KB would take 300 MB."""
    name, template = header
    keys = []
    for value in LONG_VALUES:
        headers = [(b"Host", b"h"), (b"Last-Event-Id", b"1"), (name, template % value)]
        if name != b"X-Request-Id":
            headers.append((b"X-Request-Id", b"r1"))
        call = HeaderDialect().read_call(Request(b"POST", b"/a/", "1.1", headers, b"", True, 0))
        keys.append(read_key(call))
    assert max(map(len, keys)) <= MAX_KEY_CHARS
    assert keys[0] == keys[1] != keys[2]
