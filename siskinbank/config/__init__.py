"""Service configuration: base file, overlays and validated models."""
