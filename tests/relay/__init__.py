"""Tests of siskinbank.relay."""
