"""Prepares the allocator, the standard library and gRPC for the daemon."""

from __future__ import annotations

from ..helpers.memory import bound_arenas


def patch() -> None:
    """Patch blocking calls and let gRPC wait on the event loop."""
    bound_arenas()
    from gevent import monkey

    monkey.patch_all()
    import grpc.experimental.gevent as grpc_gevent

    grpc_gevent.init_gevent()
