"""Tenants' limits over all gateways: the choice of a token bucket's owner, and reports to owners.

Owns the buckets assigned to this gateway and the reports in flight; the token bucket rule is in
``decisions``, the datagrams are in ``peers``.
"""
