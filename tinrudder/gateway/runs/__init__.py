"""The run of one request that may run: calls to back ends until there is one outcome.

Owns a run from its first call to its outcome, and what all runs share (budgets, latencies, sizes).
Asks :mod:`tinrudder.gateway.decisions` at each branch, and :mod:`tinrudder.gateway.scatters` for
shards that other gateways ask.  Knows nothing of keys, quotas or hosts of routes: that is
:mod:`tinrudder.gateway.requests`, which starts runs.
"""
