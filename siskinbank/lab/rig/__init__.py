"""Stand-ins of the users' platform on loopback, around the real programs."""
