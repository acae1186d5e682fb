"""Experiments, stand-ins for surrounding systems, and the demo."""
