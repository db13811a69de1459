"""Execution of one admitted request: calls to back ends until the request has an outcome.

Owns a run from its first call to its outcome, and the state that all runs share (retry budgets,
latencies, answer sizes).  Decisions are made by :mod:`tinrudder.gateway.decisions`; shards that
other gateways call are delegated through :mod:`tinrudder.gateway.scatters`.  API keys, quotas and
route matching belong to :mod:`tinrudder.gateway.requests`, which starts runs.
"""
