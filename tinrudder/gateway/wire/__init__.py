"""Messages between gateways as protobuf bytes; codecs refuse what is no message."""
