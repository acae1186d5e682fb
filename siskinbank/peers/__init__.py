"""Communication between siskinbank's own processes."""
