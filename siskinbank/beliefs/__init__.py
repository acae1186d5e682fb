"""What a process believes about hosts and configuration, and for how long."""
