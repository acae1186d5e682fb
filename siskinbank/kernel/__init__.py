"""Core services that all processes and plug-ins share."""
