"""Small fleet of the project's programs with stand-ins, for review cases."""
