"""A state that every process holds a copy of, merged by a join and spread by notices and pulls.

Owns the exchange, not the meaning of an entry: whoever embeds it passes in the state and its rules.
"""
