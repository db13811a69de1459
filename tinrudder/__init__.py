"""A query tier over many shards, shared by tenants who do not trust each other."""
