"""Tenants' limits over all gateways: who keeps a tenant's token bucket, and what entries ask it.

Owns the buckets that fall to this gateway and the reports under way; the rule of the buckets is in
``decisions``, the datagrams are those of ``peers``.
"""
