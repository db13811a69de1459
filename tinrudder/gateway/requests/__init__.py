"""The way of one request at its entry: who asks, which route, may it run, and where.

Owns a request from arrival to answer.  Each reason to refuse stands in
:mod:`tinrudder.gateway.requests.refusals`; what may run is started as a run of
:mod:`tinrudder.gateway.runs`, or handed to a coordinator by :mod:`tinrudder.gateway.scatters`.
"""
