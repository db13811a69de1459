"""Owns the wiring of the resource API to a running node."""

from __future__ import annotations

from starlette.routing import Route

from tinrudder.node.api.operators.resource_app import ResourceApiSettings, ResourceApplication
from tinrudder.node.node import Node
from tinrudder.node.resources.status import StatusReporter
from tinrudder.node.settings import parse_operator_credentials


def resource_routes(node: Node) -> list[Route]:
    """Return the routes under ``/v1/resources`` for a node."""
    settings = ResourceApiSettings(
        node.settings.name,
        parse_operator_credentials(node.settings.operator_credentials),
        node.settings.platform_write_url,
    )
    reporter = StatusReporter(node.configuration_store, node.node_revisions)
    application = ResourceApplication(
        settings, node.configuration_store, reporter, node.lifecycle.is_stopping
    )
    return application.routes()
