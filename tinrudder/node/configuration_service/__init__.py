"""Client for the platform's configuration and member list, in the format of the lab's server."""
