"""The platform's store as gateways share it: who reads it, what is known, and how old that is.

Owns the merged state (the highest revision of a key wins) and the bound on its age. Reads through
:class:`tinrudder.gateway.store.stored_values.MetadataStore`; an adapter implements that.
"""
