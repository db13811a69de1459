"""Adapter to the read-only configuration and membership service."""
