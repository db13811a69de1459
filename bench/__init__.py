"""Benchmarks of the query tier; docs/CALL_COST.md covers the call path."""
