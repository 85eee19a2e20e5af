"""Carries control messages between nodes over gRPC; the generated code is committed."""
