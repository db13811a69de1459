"""Admission rules: whether a request may run now, in which order, and when to retry if refused."""
