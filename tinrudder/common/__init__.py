"""Code that gateways and nodes share: clocks, logs, life cycle, and connections between processes.

Owns no decision of either program. Any package of the product may import it; of the product it
imports only the interfaces :mod:`tinrudder.peers` and :mod:`tinrudder.timers`.
"""
