"""History checkers: one module per promise; each takes a history and returns violations."""
