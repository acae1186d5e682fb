"""Tests of siskinbank.tracking."""
