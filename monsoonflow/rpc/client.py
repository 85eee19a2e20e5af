"""Calls other nodes; no call is repeated by the channel."""

from __future__ import annotations

from typing import Any, Protocol

import grpc

from . import control_pb2 as pb
from . import control_pb2_grpc
from .const import CALL_TIMEOUT_MS, CHANNEL_OPTIONS, TOKEN_METADATA


class ControlCaller(Protocol):
    """The control calls that a node makes."""

    def heartbeat(self, address: str, report: pb.NodeReport) -> pb.NodeReport | None:
        """Exchange reports with a node; ``None`` when it did not answer."""

    def promise(self, address: str, holder: str, for_ms: int) -> bool:
        """Ask a successor for its promise not to claim."""

    def hand_over(self, address: str, request: pb.HandOverRequest) -> bool:
        """Hand a runner over."""

    def grant_load(self, address: str, request: pb.GrantRequest) -> pb.GrantReply | None:
        """Ask for the fleet's next load; ``None`` when the grant-giver did not answer."""

    def changes(self, address: str, after_version: int) -> pb.ChangesReply | None:
        """Fetch configuration changes from a node."""


class ControlClient:
    """Keeps one channel per node that it calls."""

    def __init__(self, node_token: str, credentials: grpc.ChannelCredentials | None = None) -> None:
        self._metadata = ((TOKEN_METADATA, node_token),)
        self._credentials = credentials
        self._channel_by_address: dict[str, grpc.Channel] = {}
        self.calls = 0
        self.bytes = 0

    def heartbeat(self, address: str, report: pb.NodeReport) -> pb.NodeReport | None:
        """Exchange reports with a node; ``None`` when it did not answer."""
        return self._call(address, "Heartbeat", report)

    def promise(self, address: str, holder: str, for_ms: int) -> bool:
        """Ask a successor for its promise not to claim."""
        reply = self._call(address, "Promise", pb.PromiseRequest(holder=holder, for_ms=for_ms))
        return reply is not None and reply.promised

    def hand_over(self, address: str, request: pb.HandOverRequest) -> bool:
        """Hand a runner over."""
        reply = self._call(address, "HandOver", request)
        return reply is not None and reply.accepted

    def grant_load(self, address: str, request: pb.GrantRequest) -> pb.GrantReply | None:
        """Ask for the fleet's next load; ``None`` when the grant-giver did not answer."""
        return self._call(address, "GrantLoad", request)

    def changes(self, address: str, after_version: int) -> pb.ChangesReply | None:
        """Fetch configuration changes from a node."""
        return self._call(address, "Changes", pb.ChangesRequest(after_version=after_version))

    def drop(self, address: str) -> None:
        """Close the channel to a node that is gone."""
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def _call(self, address: str, method: str, request: Any) -> Any | None:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = self._channel_by_address[address] = self._open(address)
        call = getattr(control_pb2_grpc.ControlStub(channel), method)
        self.calls += 1
        self.bytes += request.ByteSize()
        try:
            return call(request, timeout=CALL_TIMEOUT_MS / 1000, metadata=self._metadata)
        except grpc.RpcError as error:
            if error.code() in (grpc.StatusCode.DEADLINE_EXCEEDED, grpc.StatusCode.UNAVAILABLE):
                # A connection whose state was lost on the way stays open and silent for good; a new
                # channel reaches the node again as soon as new connections work.
                self.drop(address)
            return None

    def _open(self, address: str) -> grpc.Channel:
        if self._credentials is not None:
            return grpc.secure_channel(address, self._credentials, options=CHANNEL_OPTIONS)
        return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
