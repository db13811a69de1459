"""Replicates a state to every process by notices and pulls, and merges copies by a join.

Owns the exchange.  The embedding program supplies the state and defines what an entry means.
"""
