"""Reconciles the fleet with the manifest."""
