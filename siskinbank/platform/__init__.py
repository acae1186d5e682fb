"""The users' platform: names, formats and calls, translated here only."""
