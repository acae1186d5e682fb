"""Tests of the service configuration."""
