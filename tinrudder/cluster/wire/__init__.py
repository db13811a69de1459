"""The cluster library's messages as protobuf bytes, and the seal on its datagrams.

Codecs refuse what breaks a size limit or holds no message; nothing here decides.
"""
