"""Back ends as one gateway knows them: entries, connections, observations, load reports.

Owns every connection to a back end and what was seen on it.
"""
