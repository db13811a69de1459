"""The gateway, the program on the users' machines: opaque requests to one back end or many shards.

A request passes ``clients``, ``requests``, over many shards ``scatters``, and ``runs``, which
sends its calls through ``backends``. ``store`` and ``peers`` keep what a gateway knows,
``quotas`` tenants' limits, ``observability`` logs and metrics; ``decisions`` holds the pure
rules, ``model`` the values that all pass, ``wire`` the messages between gateways. ``wiring``
builds the parts of a process, and ``gateway`` starts and stops it. Knows no adapter:
:mod:`tinrudder.platform` translates into this package's values from outside.
"""
