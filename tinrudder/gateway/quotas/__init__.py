"""Tenants' limits over all gateways: who keeps a tenant's token bucket, and what entries ask it."""
