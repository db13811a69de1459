"""The gateway, which forwards opaque requests to one back end or scatters them over many shards.

A request passes through ``clients``, ``requests``, ``scatters`` if it concerns many shards, and
``runs``, which sends its calls through ``backends``.  ``store`` and ``peers`` hold the state
replicated from the metadata store and from other gateways, ``quotas`` the tenants' limits, and
``observability`` logs and metrics.  ``decisions`` holds pure rules, ``model`` the values passed
between packages, and ``wire`` the messages between gateways.  ``wiring`` builds the components of
a process; ``gateway`` starts and stops it.  This package imports no adapter:
:mod:`tinrudder.platform` translates external formats into its values.
"""
