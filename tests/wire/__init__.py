"""Tests of siskinbank.wire."""
