"""Back ends of one gateway: entries, connections, observations and load reports.

Owns every connection to a back end and this gateway's observations of each back end.
"""
