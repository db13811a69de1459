"""Claims: a majority of voters grants a key to one holder, so that its operation runs at most once.

Owns votes and electorates, in memory and for one validity window. Relies on the membership's view
for who may vote and on the transport for asking; docs/CLAIMS.md argues the protocol.
"""
