"""Quarantine of requests that crash servers: finds them and keeps them away from all servers."""
