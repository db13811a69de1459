"""What both programs use: clocks, logs, life cycle, and connections between processes.

Owns no decision of either program. Any package of the product may import it; it imports nothing
of the product but the interfaces :mod:`tinrudder.peers` and :mod:`tinrudder.timers`.
"""
