"""Pure rules of a gateway, one a module: who is admitted, where it runs, what is sent again.

Reads no clock, no network and no configuration of its own: time, observations and randomness are
arguments. Rooms: ``admission`` (may it run, and when to come back), ``placement`` (where),
``attempts`` (second calls, retries, the answer's time), ``fleet`` (what gateways settle together).
"""
