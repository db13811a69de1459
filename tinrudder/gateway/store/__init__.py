"""The platform's metadata store as gateways share it: readers, merged contents and staleness.

Owns the merged state (the highest revision of a key wins) and the bound on its age. Reads through
the interface :class:`tinrudder.gateway.store.stored_values.MetadataStore`, which an adapter
implements.
"""
