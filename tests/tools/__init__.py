"""Tests of the build and measurement tools."""
