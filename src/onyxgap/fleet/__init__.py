"""Filters that bring the fleet in line with the manifest."""
