"""Tests of onyxgap."""
