"""The gateway role: opaque requests forwarded to one back end, or scattered over many shards."""
