"""Scatters, requests over many shards: admission, choice of the coordinator, delegation and merge.

Owns the admission queue of each index and the delegation of scatters between gateways.
"""
