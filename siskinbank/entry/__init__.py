"""The entry: takes packets, connections and requests and hands them on."""
