"""Tests, structured like the packages under test."""

from hypothesis import settings

# Deterministic test cases, so that CI results are reproducible.
settings.register_profile('siskinbank', derandomize=True, deadline=None)
settings.load_profile('siskinbank')
