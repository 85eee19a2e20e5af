"""Checks what callers send; everything after this trusts it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import attrs
import orjson

from ..core.adapter import parse_model
from .const import MAX_DEADLINE_MS, MAX_KEY_LENGTH, MAX_PRIORITY, PRIORITY_BY_NAME


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Tells what is wrong with a request; nothing of it ran."""

    reason: str
    status: int = 400


@attrs.frozen(slots=True)
class Terms:
    """What the headers of a request say.

    :param deadline_ms: time left, or ``None`` for the node's default.
    :param home: the process that the caller first sent this key to.
    :param tries: 1 only for the first sending; ``None`` when the caller does not say.
    """

    repeatable: bool
    deadline_ms: int | None
    priority: int
    key: str | None
    home: str | None
    tries: int | None


@attrs.frozen(slots=True)
class Completion:
    """A checked completion request.

    :param version: ``None`` for the version in force.
    :param data: what is passed to the engine.
    """

    adapter: str
    version: int | None
    stream: bool
    data: dict[str, Any]


def parse_terms(headers: Mapping[str, str]) -> Terms | BadRequest:
    """Check the headers that every request may carry.

    :param headers: by lower-case name.
    """
    repeatable = headers.get("x-monsoonflow-repeatable", "true").strip().lower()
    if repeatable not in ("true", "false"):
        return BadRequest("X-Monsoonflow-Repeatable must be true or false")
    deadline = _number(headers.get("x-monsoonflow-deadline-ms"))
    if isinstance(deadline, BadRequest):
        return BadRequest("X-Monsoonflow-Deadline-Ms must be a whole number of milliseconds")
    if deadline is not None and deadline <= 0:
        return BadRequest("the deadline has already passed", 504)
    if deadline is not None and deadline > MAX_DEADLINE_MS:
        return BadRequest(f"X-Monsoonflow-Deadline-Ms must be at most {MAX_DEADLINE_MS}")
    priority = _priority(headers.get("x-monsoonflow-priority"))
    if isinstance(priority, BadRequest):
        return priority
    key = headers.get("idempotency-key")
    if key is not None and not (0 < len(key) <= MAX_KEY_LENGTH and key.isprintable()):
        return BadRequest(f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} printable characters")
    tries = _number(headers.get("x-monsoonflow-try"))
    if isinstance(tries, BadRequest) or (tries is not None and tries < 1):
        return BadRequest("X-Monsoonflow-Try must be a whole number from 1")
    return Terms(
        repeatable == "true", deadline, priority, key, headers.get("x-monsoonflow-home"), tries
    )


def parse_completion(body: bytes, chat: bool) -> Completion | BadRequest:
    """Check the JSON body of a completion request.

    :param chat: whether it has messages in place of a prompt.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError:
        return BadRequest("the body is not JSON")
    if not isinstance(data, dict):
        return BadRequest("the body must be a JSON object")
    model = data.get("model")
    if not isinstance(model, str):
        return BadRequest("model must be a string")
    parsed = parse_model(model)
    if parsed is None:
        return BadRequest("model must be ADAPTER or ADAPTER@VERSION")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        return BadRequest("stream must be true or false")
    max_tokens = data.get("max_tokens", 16)
    if type(max_tokens) is not int or not 1 <= max_tokens <= 131_072:
        return BadRequest("max_tokens must be a whole number from 1 to 131072")
    prompt = _chat_prompt(data.get("messages")) if chat else data.get("prompt")
    if not isinstance(prompt, str):
        return BadRequest(
            "messages must be a list of role and content" if chat else "prompt must be a string"
        )
    passed = {name: value for name, value in data.items() if name not in ("messages", "stream")}
    return Completion(
        parsed[0], parsed[1], stream, {**passed, "prompt": prompt, "max_tokens": max_tokens}
    )


def _chat_prompt(messages: Any) -> str | None:
    if not isinstance(messages, list) or not messages:
        return None
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def _number(text: str | None) -> int | None | BadRequest:
    if text is None:
        return None
    digits = text.strip()
    if not (digits.removeprefix("-").isdigit() and digits.isascii() and len(digits) <= 15):
        return BadRequest("not a number")
    return int(digits)


def _priority(text: str | None) -> int | BadRequest:
    if text is None:
        return PRIORITY_BY_NAME["normal"]
    if text in PRIORITY_BY_NAME:
        return PRIORITY_BY_NAME[text]
    if len(text) == 1 and text in "0123456789" and int(text) <= MAX_PRIORITY:
        return int(text)
    return BadRequest(f"X-Monsoonflow-Priority must be one of {', '.join(PRIORITY_BY_NAME)}")
