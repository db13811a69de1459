"""Messages between nodes as protobuf bytes, and the channels and transport that carry them."""
