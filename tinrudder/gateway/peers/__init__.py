"""Communication with peer gateways: membership, state exchange and zone reachability.

Owns the single UDP socket between gateways, the member list, and the exchange of state.
"""
