"""Makes the text that the model runner's stand-in answers with."""

from __future__ import annotations

import hashlib


def expected_text(model: str, prompt: str, count: int) -> str:
    """Return the text that a prompt gets from an adapter version; tests compare with it."""
    return "".join(token(model, prompt, index) for index in range(count))


def token(model: str, prompt: str, index: int) -> str:
    """Return one token: it names the adapter, so a wrong one shows."""
    mark = hashlib.sha256(f"{model}|{prompt}".encode()).hexdigest()[:6]
    return f"{model}:{mark}:{index} "
