"""Stand-ins for the users' platform, to run the real programs on loopback."""
