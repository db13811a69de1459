"""HTTP application for operators: resources, their status, and a stream of their changes."""
