"""Known state of hosts and configuration, and when to read it again."""
