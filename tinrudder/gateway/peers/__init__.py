"""Other gateways: who they are, what they are told, and which zones can be reached.

Owns the one UDP socket between gateways, the list of members, and the exchange of state.
"""
