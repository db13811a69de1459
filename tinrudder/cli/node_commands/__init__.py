"""Commands that talk to a running node of the loopback program, one module each."""
