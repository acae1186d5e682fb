"""Tests of siskinbank.sidecar."""
