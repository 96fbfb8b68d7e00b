"""Thin programs that tie pipes to adapters."""
