"""The kernel: what every program and plug-in builds on."""
