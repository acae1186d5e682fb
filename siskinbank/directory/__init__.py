"""Reading what the platform publishes: configuration and the live list."""
