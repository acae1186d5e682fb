"""Typed messages between the system's processes, and how they are keyed."""
