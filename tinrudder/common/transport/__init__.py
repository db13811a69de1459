"""Framed requests over TCP between processes of one fleet.

Owns the frame format and the connections that carry it; what a payload means is the business of
the program that sends it. Used by gateways and by nodes.
"""
