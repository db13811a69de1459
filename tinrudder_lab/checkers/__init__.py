"""History checkers: one module for each promise, which returns the violations in a history."""
