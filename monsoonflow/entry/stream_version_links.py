"""Carries questions and messages about versions of streams to peers."""

from __future__ import annotations

from ..fleet.gossip import Gossip
from ..fleet.models import BegunStreams
from ..transport.client import Answer
from .peers import STREAM_VERSION_PATH, PeerClient


class StreamVersionLinks:
    """Sends messages as datagrams and questions as calls."""

    def __init__(self, gossip: Gossip, peer_client: PeerClient) -> None:
        self._gossip = gossip
        self._peer_client = peer_client

    def tell(self, address: str, begun: BegunStreams) -> None:
        """Send a datagram."""
        self._gossip.send_begun_streams(begun, address)

    def ask(self, address: str, body: bytes, timeout_ms: int) -> bytes | None:
        """Make a call; ``None`` if it was not answered."""
        answer = self._peer_client.call(address, STREAM_VERSION_PATH, body, timeout_ms)
        if isinstance(answer, Answer) and answer.head.status == 200:
            return answer.body
        return None
