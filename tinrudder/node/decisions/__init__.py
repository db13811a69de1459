"""Pure decisions of a node: which replica, when to hedge or retry, who coordinates.

Reads no clock and no network: time, observations and randomness are arguments.
"""
