"""Emulates the platform that gateways run on: store, back ends and clients, in virtual time.

It speaks the platform's protocol over in-memory connections, so the gateway code runs unchanged.
The wire names come from ``tinrudder.platform``.
"""
