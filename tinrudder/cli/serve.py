"""``tinrudder serve``: run one node daemon until SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import uvicorn
from starlette.types import ASGIApp

from tinrudder.cli.tls_identities import load_tls_identities, reload_changed_identities
from tinrudder.common import event_loop
from tinrudder.common.garbage_collection import tune_garbage_collection
from tinrudder.common.logs import configure_logs, log_problem
from tinrudder.node.api.caller_app import CallerApplication
from tinrudder.node.api.caller_protocol import CallerProtocol
from tinrudder.node.api.cursor import CursorCodec
from tinrudder.node.api.explain_app import explain_route
from tinrudder.node.api.finished_query import QueryLog, QueryObserver
from tinrudder.node.api.health import CloseConnectionsWhenStopping, health_routes
from tinrudder.node.api.metrics_app import metrics_route
from tinrudder.node.api.operation_app import operation_route
from tinrudder.node.api.operators.resource_routes import resource_routes
from tinrudder.node.backends.http_transport import HttpBackendTransport
from tinrudder.node.configuration_service.client import PlatformClient
from tinrudder.node.environment import DEVELOPMENT_CLUSTER_KEYS, Environment
from tinrudder.node.metrics import NodeMetrics
from tinrudder.node.node import Node
from tinrudder.node.node_explain import NodeExplanations
from tinrudder.node.node_metrics import add_node_metrics
from tinrudder.node.settings import (
    NodeSettings,
    SettingsError,
    add_settings_flags,
    load_settings,
    parse_operator_credentials,
    read_cluster_keys,
    settings_from_flags,
)
from tinrudder.node.tls import Identity, TlsError, TlsIdentities
from tinrudder.node.wire.peer_transport import TcpPeerTransport

EXIT_OK = 0
EXIT_USAGE = 2
CALLER_KEEP_ALIVE_S = 75
"""Seconds that an idle caller connection stays open, so that a caller with one query a minute does
not have to reconnect."""


class CallerServer(uvicorn.Server):
    """uvicorn without its signal handlers: the daemon controls the shutdown."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Register the subcommand."""
    parser = subparsers.add_parser("serve", help="run one node")
    parser.add_argument("--settings", type=Path, help="TOML settings file")
    add_settings_flags(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Validate the settings and run the node."""
    try:
        settings = load_settings(arguments.settings, settings_from_flags(arguments))
        cluster_keys = read_cluster_keys(settings.cluster_key_file)
    except SettingsError as error:
        print(f"tinrudder serve: {error}")
        return EXIT_USAGE
    configure_logs(settings.name, settings.log_level)
    if not cluster_keys:
        log_problem("no cluster key: anyone may join", {"setting": "cluster_key_file"})
    try:
        event_loop.run(serve(settings, cluster_keys or DEVELOPMENT_CLUSTER_KEYS))
    except (TlsError, event_loop.NoSuspensionClockError) as error:
        print(f"tinrudder serve: {error}")
        return EXIT_USAGE
    return EXIT_OK


async def serve(
    settings: NodeSettings, cluster_keys: tuple[bytes, ...] = DEVELOPMENT_CLUSTER_KEYS
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down without cutting off queries in progress."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    tls_identities = load_tls_identities(settings)
    platform = PlatformClient(settings.platform_url)
    node = await _open_node(settings, tls_identities, platform, cluster_keys)
    await node.start()
    tune_garbage_collection()
    callers = _build_callers(node, settings, cluster_keys)
    app = CloseConnectionsWhenStopping(callers.app, node.lifecycle)
    server = CallerServer(caller_config(settings, app, tls_identities.callers))
    serving = asyncio.create_task(server.serve())
    reloading = asyncio.create_task(reload_changed_identities(tls_identities, settings.tls_check_s))
    await stop_requested.wait()
    await node.leave()
    server.should_exit = True
    await serving
    await node.stop()
    reloading.cancel()
    await platform.close()


async def _open_node(
    settings: NodeSettings,
    tls_identities: TlsIdentities,
    platform: PlatformClient,
    cluster_keys: tuple[bytes, ...],
) -> Node:
    """Open the port for peer traffic and build the node on it; the node does not run yet."""
    peers = TcpPeerTransport(settings.host, settings.peer_port, tls_identities.peers)
    environment = Environment(
        timers=asyncio.get_running_loop(),
        wall_clock=time.time,
        random=random.Random(),
        backends=HttpBackendTransport(tls_identities),
        peers=peers,
        platform=platform,
        cluster_keys=cluster_keys,
    )
    address = await peers.open()
    return Node(msgspec.structs.replace(settings, peer_port=address.port), environment)


def _build_callers(
    node: Node, settings: NodeSettings, cluster_keys: tuple[bytes, ...]
) -> CallerApplication:
    """Return the HTTP application with the routes of callers and operators."""
    loop = asyncio.get_running_loop()
    metrics = NodeMetrics()
    add_node_metrics(metrics, node)
    explanations = NodeExplanations(node)
    observers: list[QueryObserver] = [
        QueryLog(settings.query_log_share),
        metrics,
        explanations.on_finished,
    ]
    callers = CallerApplication(
        loop, node.entry, node.configuration, CursorCodec(cluster_keys), observers
    )
    operators = parse_operator_credentials(settings.operator_credentials)
    routes = callers.app.router.routes
    routes.append(operation_route(loop, node.operations, node.configuration, observers))
    routes.append(metrics_route(metrics, operators))
    routes.append(explain_route(explanations.lookup.find, operators, node.configuration))
    routes.extend(health_routes(node.lifecycle, node.configuration))
    routes.extend(resource_routes(node))
    return callers


def caller_config(
    settings: NodeSettings, app: ASGIApp, identity: Identity | None
) -> uvicorn.Config:
    """Return the HTTP server's configuration; with an identity, it uses TLS."""
    context = identity.listening_context() if identity is not None else None
    return uvicorn.Config(
        app,
        host=settings.host,
        port=settings.caller_port,
        loop="asyncio",
        http=CallerProtocol,
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=CALLER_KEEP_ALIVE_S,
        ssl_context_factory=(lambda _config, _default: context) if context is not None else None,
    )
