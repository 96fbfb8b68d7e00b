"""Filters a caller's request passes through, from identity to answer."""
