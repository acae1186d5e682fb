"""Parts for coordination without shared state, for others to embed."""
