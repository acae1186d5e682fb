"""The sidecar: owns the flows and requests of the upstream beside it."""
