"""Prepares the standard library and gRPC for cooperative scheduling."""

from __future__ import annotations


def patch() -> None:
    """Patch blocking calls and let gRPC wait on the event loop."""
    from gevent import monkey

    monkey.patch_all()
    import grpc.experimental.gevent as grpc_gevent

    grpc_gevent.init_gevent()
