"""Claims: a majority of voters grants a key to one holder, so that its operation runs at most once.

Owns votes and electorates, in memory and for one validity window. Relies on the platform's member
list to name the voters and on the peer transport to reach them. docs/CLAIMS.md describes the
protocol and why it is correct.
"""
