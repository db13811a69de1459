"""HTTP application for operators and tenants: resources, their status and a watch of changes."""
