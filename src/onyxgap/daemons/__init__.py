"""Processes of a deployment: nodes, entries and controls, wired to their adapters."""
