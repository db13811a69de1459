"""Stand-ins for the platform's store, the back ends, the clients and the operator of a small site.

They follow the users' pages and use only Python's standard library. The gateways are the project's
own program, started as separate processes with the command of the deploy file.
"""
