"""Types shared by all packages of a gateway: configuration, HTTP messages, outcomes."""
