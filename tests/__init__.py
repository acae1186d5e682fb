"""Tests, laid out like the packages they test."""

from hypothesis import settings

# The same cases each time, so that CI gives the same verdict.
settings.register_profile('siskinbank', derandomize=True, deadline=None)
settings.load_profile('siskinbank')
