"""The daemon that accepts callers' requests and forwards them to the backend servers."""
