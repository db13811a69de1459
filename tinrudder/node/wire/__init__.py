"""Protobuf codecs for messages between nodes, and the channels and transport that carry them."""
