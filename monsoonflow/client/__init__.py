"""Gives callers a client that finds the right node and hands back typed outcomes."""

from __future__ import annotations

from .client import Client
from .models import Reply

__all__ = ["Client", "Reply"]
