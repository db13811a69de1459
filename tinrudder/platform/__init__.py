"""Adapter to the users' platform: its names, formats and calls.  Nothing here decides."""
