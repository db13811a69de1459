"""Our own model of the users' platform: store, back ends and clients, in virtual time.

It speaks the platform's protocol over in-memory connections, so that the gateway's own code runs
unchanged.  The names on the wire are taken from the product's adapter.
"""
