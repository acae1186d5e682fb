"""Admission control: the limits that a sidecar applies for its upstream."""
