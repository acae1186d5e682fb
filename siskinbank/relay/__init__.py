"""The programs of the users' platform: lean processes that carry packets."""
