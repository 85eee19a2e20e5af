"""Serves very many LoRA adapters from a fleet that repairs itself and explains what it did.

``monsoonflow.Client`` is the caller's client. It is imported on first use: the daemon patches the
standard library before anything else may import sockets.
"""

from __future__ import annotations

from typing import Any

__version__ = "0.1.0"
__all__ = ["Client", "Reply"]


def __getattr__(name: str) -> Any:
    """Import the client when it is first asked for."""
    if name not in __all__:
        raise AttributeError(name)
    from . import client

    return getattr(client, name)
