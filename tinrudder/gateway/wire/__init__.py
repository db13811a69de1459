"""Protobuf codecs for messages between gateways; they reject malformed bytes."""
