"""Requests over many shards: where they wait, which gateway runs them, how parts are merged.

Owns the admission queue of each index and the exchange of scatters between gateways.
"""
