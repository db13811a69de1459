"""The query core: plan, fan-out, merge, coverage."""
