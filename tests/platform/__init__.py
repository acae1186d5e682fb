"""Tests of siskinbank.platform."""
