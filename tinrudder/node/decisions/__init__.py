"""Pure decision logic of a node: replica choice, hedging, retries and coordinator selection.

Does no I/O and reads no clock of its own: time, observations and randomness are arguments.
"""
