"""The way of one request: who asks, which route, may it run, and its calls until one outcome.

Owns a request from arrival to outcome; asks :mod:`tinrudder.gateway.decisions` at each branch, and
:mod:`tinrudder.gateway.scatters` where another gateway has a part in it.
"""
