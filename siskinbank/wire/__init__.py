"""Message formats between siskinbank processes, and their authentication."""
