"""The entry: forwards packets, connections and requests to the hosts."""
