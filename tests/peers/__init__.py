"""Tests of siskinbank.peers."""
