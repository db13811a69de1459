"""Benchmarks of the call path; see docs/CALL_COST.md."""
