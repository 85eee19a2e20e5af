"""Tests and fuzzes the parsing of what callers send."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from monsoonflow.request.parse import BadRequest, Completion, Terms, parse_completion, parse_terms

HEADERS = (
    "x-monsoonflow-repeatable",
    "x-monsoonflow-deadline-ms",
    "x-monsoonflow-priority",
    "x-monsoonflow-try",
    "idempotency-key",
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**53), 2**53)
    | st.floats(allow_nan=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_parsed_or_refused(body, chat):
    assert isinstance(parse_completion(body, chat), Completion | BadRequest)


@given(
    st.fixed_dictionaries(
        {},
        optional={
            name: JSON for name in ("model", "prompt", "messages", "stream", "max_tokens", "x")
        },
    ),
    st.booleans(),
)
def test_any_json_is_parsed_or_refused(data, chat):
    parsed = parse_completion(orjson.dumps(data), chat)
    if isinstance(parsed, Completion):
        assert isinstance(parsed.data["prompt"], str)
        assert 1 <= parsed.data["max_tokens"] <= 131_072


@given(st.dictionaries(st.sampled_from(HEADERS), st.text(max_size=40)))
def test_any_headers_are_parsed_or_refused(headers):
    parsed = parse_terms(headers)
    if isinstance(parsed, Terms):
        assert parsed.deadline_ms is None or parsed.deadline_ms > 0
        assert 0 <= parsed.priority <= 3


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"x-monsoonflow-deadline-ms": "0"}, 504),
        ({"x-monsoonflow-deadline-ms": "-5"}, 504),
        ({"x-monsoonflow-deadline-ms": "soon"}, 400),
        ({"x-monsoonflow-deadline-ms": "1e3"}, 400),
        ({"x-monsoonflow-repeatable": "maybe"}, 400),
        ({"x-monsoonflow-priority": "9"}, 400),
        ({"x-monsoonflow-try": "0"}, 400),
        ({"idempotency-key": ""}, 400),
        ({"idempotency-key": "k" * 257}, 400),
    ],
)
def test_wrong_headers_are_refused(headers, status):
    parsed = parse_terms(headers)
    assert isinstance(parsed, BadRequest)
    assert parsed.status == status


def test_chat_messages_become_a_prompt():
    body = {"model": "a@1", "messages": [{"role": "user", "content": "hi"}]}
    parsed = parse_completion(orjson.dumps(body), chat=True)
    assert parsed.data["prompt"] == "user: hi"
    assert "messages" not in parsed.data
