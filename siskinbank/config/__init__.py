"""What operators say about services: base file, overlays, checked models."""
