"""Tests of siskinbank.directory."""
