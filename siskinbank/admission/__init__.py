"""What a host can bear: limits that the sidecar keeps for its upstream."""
