"""Pure decision rules of a gateway, one per module: admission, placement, attempts, fleet.

The rules read no clock, network or configuration; time, observations and randomness are arguments.
Subpackages: ``admission`` (whether a request may run, and when a refused caller should retry),
``placement`` (where it runs), ``attempts`` (hedges, retries and when the answer is sent), ``fleet``
(state that the gateways agree on).
"""
