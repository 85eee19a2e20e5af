"""Serves very many LoRA adapters from a fleet that repairs itself and explains what it did."""

from __future__ import annotations

__version__ = "0.1.0"
