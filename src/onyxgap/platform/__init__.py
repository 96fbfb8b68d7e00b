"""Adapter to the platform: its data formats, HTTP calls and settings; no policy."""
