"""Carries HTTP/1.1 messages byte for byte: a strict codec on cooperative sockets."""
