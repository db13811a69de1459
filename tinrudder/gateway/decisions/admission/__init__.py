"""Rules on whether a request may run here now, in which order, and when refused callers return."""
