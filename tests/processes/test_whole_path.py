"""Serves real requests through separate processes."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys

import pytest
import urllib3

from monsoonflow.client import Client
from monsoonflow.core.outcome import NotRun
from script.fleet import OPERATOR_TOKEN, Fleet, customer_key
from stand_ins.text import expected_text

NODES = ("n1", "n2", "n3")


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("logs"), loads_per_second=20)
    try:
        fleet.start_platform()
        fleet.start_runner("m1")
        fleet.start_runner("m2")
        fleet.start_service("svc")
        for name, data_centre in zip(NODES, ("dc-1", "dc-1", "dc-2"), strict=True):
            fleet.start_node(name, data_centre)
        fleet.await_nodes(*NODES)
        fleet.apply_runners("n1")
        service = {"name": "cases", "addresses": [fleet.url("svc")], "customers": []}
        fleet.apply("n2", {"kind": "put_service", "service": service})
        fleet.bring_in("n3", "acme", 6)
        fleet.bring_in("n3", "other", 2)
        fleet.await_in_force(*NODES)
        fleet.await_owned()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def client(running):
    return Client([running.url(name) for name in NODES], customer_key("acme"))


@pytest.mark.processes
@pytest.mark.parametrize("model", ["acme-0", "acme-1@1", "acme-2@2"])
def test_answer_comes_from_the_adapter_and_version_asked_for(client, model):
    reply = client.complete(model, "a prompt", max_tokens=9)
    asked = model if "@" in model else f"{model}@2"
    assert reply.done, reply
    assert reply.model == asked
    assert reply.text == expected_text(asked, "a prompt", 9)


@pytest.mark.processes
def test_key_runs_once_whichever_node_is_asked(running, client):
    first = client.complete("acme-3", "pay", 5, repeatable=False, key="match-1")
    headers = {
        "Authorization": f"Bearer {customer_key('acme')}",
        "Idempotency-Key": "match-2",
        "X-Monsoonflow-Repeatable": "false",
    }
    body = {"model": "acme-3", "prompt": "pay", "max_tokens": 5}
    texts = set()
    for name in NODES * 2:
        result = running.http.call("POST", running.url(name) + "/v1/completions", body, headers)
        assert result.status == 200, result
        texts.add(result.json()["choices"][0]["text"])
    assert texts == {first.text}
    runs = [running.get(name, "/_records")["runs_by_request"] for name in ("m1", "m2")]
    assert max(sum(counts.get(name, 0) for counts in runs) for name in set().union(*runs)) == 1


@pytest.mark.processes
def test_chat_shape(running):
    headers = {"Authorization": f"Bearer {customer_key('acme')}"}
    body = {
        "model": "acme-0",
        "messages": [{"role": "user", "content": "hi"}],
        "max_tokens": 3,
    }
    result = running.http.call("POST", running.url("n1") + "/v1/chat/completions", body, headers)
    data = result.json()
    assert data["choices"][0]["message"]["content"] == expected_text("acme-0@2", "user: hi", 3)


@pytest.mark.processes
@pytest.mark.parametrize(
    ("model", "status"),
    [("other-0", 404), ("none", 404), ("acme-0@9", 404), ("a b", 400), ("acme-0@x", 400)],
)
def test_unknown_and_foreign_adapters_are_refused(running, model, status):
    headers = {"Authorization": f"Bearer {customer_key('acme')}"}
    body = {"model": model, "prompt": "x"}
    result = running.http.call("POST", running.url("n1") + "/v1/completions", body, headers)
    assert result.status == status
    assert result.json()["error"]["outcome"] == "not_run"


@pytest.mark.processes
def test_wrong_keys_are_refused(running):
    url = running.url("n1") + "/v1/completions"
    assert running.http.call("POST", url, {}).status == 401
    assert running.post("n1", "/v1/completions", {}, token="nobody's").status == 403
    assert running.post("n1", "/v1/intents", {}, token=customer_key("acme")).status == 403


@pytest.mark.processes
def test_service_calls_pass_bodies_both_ways(running):
    headers = {"Authorization": f"Bearer {customer_key('acme')}", "X-Case": "c1"}
    url = running.url("n2") + "/services/cases/records/7?x=1"
    result = running.http.call("POST", url, {"a": 1}, headers)
    assert result.status == 200
    assert result.json() == {"path": "records/7", "bytes": 7, "case": "c1"}


@pytest.mark.processes
def test_explain_tells_the_request_and_the_runner(running, client):
    reply = client.complete("acme-4", "why", 3)
    told = [
        line
        for name in NODES
        for line in running.get(name, f"/v1/explain/requests/{reply.request_id}")["lines"]
    ]
    assert any("admitted" in line for line in told)
    assert any("ended: outcome done" in line for line in told)
    runner = running.get("n1", "/v1/explain/runners/m1")["lines"]
    assert runner


@pytest.mark.processes
def test_unknown_request_of_a_client_is_not_run(client):
    reply = client.complete("nothing-here", "x", deadline_ms=2_000)
    assert isinstance(reply.outcome, NotRun)


def post_raw(running, body, headers):
    """Send bytes as they are."""
    return urllib3.request(
        "POST",
        running.url("n1") + "/v1/completions",
        body=body,
        headers={"Authorization": f"Bearer {customer_key('acme')}", **headers},
        retries=False,
        timeout=10,
    )


@pytest.mark.processes
@pytest.mark.parametrize(
    ("body", "headers", "status"),
    [
        (b"{not json", {}, 400),
        (b"[]", {}, 400),
        (b"", {}, 400),
        (b"x" * 2_000_000, {}, 413),
        (b"{}", {"X-Long": "y" * 7_000, "X-Longer": "z" * 30_000}, 431),
        (b'{"model":"acme-0","prompt":"x"}', {"X-Monsoonflow-Deadline-Ms": "-1"}, 504),
        (b'{"model":"acme-0","prompt":"x"}', {"X-Monsoonflow-Deadline-Ms": "soon"}, 400),
    ],
)
def test_bad_input_gets_a_clear_error(running, body, headers, status):
    result = post_raw(running, body, headers)
    assert result.status == status
    assert result.json()["error"]["outcome"] == "not_run"
    assert result.json()["error"]["message"]


@pytest.mark.processes
def test_key_with_another_body_is_refused(running):
    headers = {"Idempotency-Key": "same", "X-Monsoonflow-Repeatable": "false"}
    first = post_raw(running, b'{"model":"acme-5","prompt":"one","max_tokens":2}', headers)
    second = post_raw(running, b'{"model":"acme-5","prompt":"two","max_tokens":2}', headers)
    assert first.status == 200
    assert second.status == 422


@pytest.mark.processes
def test_half_open_callers_do_not_keep_others_waiting(running, client):
    """Many callers send half a request and no more; others are served meanwhile."""
    host, _, port = running.address_by_name["n1"].partition(":")
    half = [socket.create_connection((host, int(port))) for _ in range(200)]
    for connection in half:
        connection.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n")
    reply = client.complete("acme-0", "meanwhile", 3)
    for connection in half:
        connection.close()
    assert reply.done
    assert reply.first_text_ms < 5_000


@pytest.mark.processes
def test_command_line_against_a_running_node(running):
    """An operator's session: status, intent, plan, confirm, burn report."""

    def run(*arguments, given=None):
        done = subprocess.run(
            [sys.executable, "-m", "monsoonflow.cli.main", *arguments],
            env={
                **os.environ,
                "MONSOONFLOW_AT": running.url("n2"),
                "MONSOONFLOW_TOKEN": OPERATOR_TOKEN,
            },
            input=given,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    objective = {"priority": 1, "first_token_ms": 60_000, "share": 0.9, "group": ""}
    intent = json.dumps({"kind": "put_objective", "objective": objective})
    plan = json.loads(run("intent", "-", "--json", given=intent))
    assert plan["state"] == "proposed"
    assert "done" in run("plan", "confirm", plan["plan_id"])
    assert json.loads(run("plan", "show", plan["plan_id"], "--json"))["state"] == "done"
    assert "in force" in run("status") or "on its way" in run("status")
    Client([running.url("n2")], customer_key("acme")).complete("acme-0", "counted", 2)
    rows = json.loads(run("report", "burn", "--json"))
    assert any(row["requests"] >= 1 and row["bad"] == 0 for row in rows)
