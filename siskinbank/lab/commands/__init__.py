"""The commands below ``siskinbank lab``."""
