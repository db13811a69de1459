"""Framed requests over TCP between processes of one fleet, used by gateways and nodes.

Owns the frame format and the connections that carry frames; the sending program defines what a
payload means.
"""
