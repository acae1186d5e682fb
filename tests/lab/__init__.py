"""Tests of the experiments and their tools."""
