"""Constants of control calls."""

from __future__ import annotations

from typing import Final

TOKEN_METADATA: Final = "node-token"
CALL_TIMEOUT_MS: Final = 1_000
SERVER_WORKERS: Final = 16
CHANNEL_OPTIONS: Final = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.max_receive_message_length", 8 << 20),
)
