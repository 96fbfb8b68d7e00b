"""Measurements of the system, apart from its tests."""
