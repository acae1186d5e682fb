"""Stand-ins for the platform, the fabric, upstreams and callers."""
