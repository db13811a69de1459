"""Stub servers, simulator, load generators, experiments and checkers for tinrudder."""
