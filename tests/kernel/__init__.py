"""Tests of the core services."""
