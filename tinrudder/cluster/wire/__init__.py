"""Encodes the cluster library's messages as protobuf and authenticates its datagrams.

Owns the codecs, which reject messages that are malformed or exceed a size limit, and the replay
windows of datagram senders.
"""
