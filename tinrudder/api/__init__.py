"""HTTP applications for callers, operators and metrics."""
