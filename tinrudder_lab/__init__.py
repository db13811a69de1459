"""Stand-ins, simulator, load, experiments and checkers for tinrudder."""
