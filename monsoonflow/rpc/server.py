"""Answers other nodes' control calls."""

from __future__ import annotations

import hmac
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Protocol

import grpc

from . import control_pb2 as pb
from . import control_pb2_grpc
from .const import CHANNEL_OPTIONS, SERVER_WORKERS, TOKEN_METADATA


class ControlHandler(Protocol):
    """What a node does on control calls."""

    def on_heartbeat(self, report: pb.NodeReport) -> pb.NodeReport:
        """Take a report and return one's own."""

    def on_promise(self, holder: str, for_ms: int) -> bool:
        """Decide whether to promise not to claim."""

    def on_hand_over(self, request: pb.HandOverRequest) -> bool:
        """Take a runner over."""

    def on_grant(self, request: pb.GrantRequest) -> int | None:
        """Decide whether a load may start, and which."""

    def on_changes(self, after_version: int) -> pb.ChangesReply:
        """Return configuration changes."""


class _Servicer(control_pb2_grpc.ControlServicer):
    def __init__(self, handler: ControlHandler, node_token: str) -> None:
        self._handler = handler
        self._token = node_token

    def Heartbeat(self, request: pb.NodeReport, context: Any) -> pb.NodeReport:  # noqa: N802
        """Exchange reports."""
        self._authenticate(context)
        return self._handler.on_heartbeat(request)

    def Promise(self, request: pb.PromiseRequest, context: Any) -> pb.PromiseReply:  # noqa: N802
        """Promise not to claim."""
        self._authenticate(context)
        return pb.PromiseReply(promised=self._handler.on_promise(request.holder, request.for_ms))

    def HandOver(self, request: pb.HandOverRequest, context: Any) -> pb.HandOverReply:  # noqa: N802
        """Take a runner over."""
        self._authenticate(context)
        return pb.HandOverReply(accepted=self._handler.on_hand_over(request))

    def GrantLoad(self, request: pb.GrantRequest, context: Any) -> pb.GrantReply:  # noqa: N802
        """Grant a load."""
        self._authenticate(context)
        wish = self._handler.on_grant(request)
        return pb.GrantReply(granted=wish is not None, wish=wish or 0)

    def Changes(self, request: pb.ChangesRequest, context: Any) -> pb.ChangesReply:  # noqa: N802
        """Return configuration changes."""
        self._authenticate(context)
        return self._handler.on_changes(request.after_version)

    def _authenticate(self, context: Any) -> None:
        given = dict(context.invocation_metadata()).get(TOKEN_METADATA, "")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong node token")


def serve(
    address: str,
    handler: ControlHandler,
    node_token: str,
    credentials: grpc.ServerCredentials | None = None,
) -> grpc.Server | None:
    """Start to answer control calls.

    :returns: the server, or ``None`` when the address can't be bound.
    """
    pool = ThreadPoolExecutor(max_workers=SERVER_WORKERS)
    server = grpc.server(pool, options=(*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0)))
    control_pb2_grpc.add_ControlServicer_to_server(_Servicer(handler, node_token), server)
    try:
        if credentials is not None:
            server.add_secure_port(address, credentials)
        else:
            server.add_insecure_port(address)
    except RuntimeError:
        return None
    server.start()
    return server
