"""The sidecar: owns the flows and requests of its local upstream."""
