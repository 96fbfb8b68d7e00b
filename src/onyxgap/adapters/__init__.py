"""Adapters for network I/O: HTTP, connections between peers, and the platform."""
