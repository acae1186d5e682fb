"""Small stand-ins of platform, fabric, upstream and callers."""
