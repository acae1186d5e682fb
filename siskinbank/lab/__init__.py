"""Experiments, small stand-ins of the systems around, and the demo."""
