"""``tinrudder gateway``: run one gateway on the users' platform.

Production machines run ``python3 -m tinrudder.cli.gateway_process`` instead, which does not import
the other commands.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import os
import resource
import signal
import sys
import time
from functools import partial
from pathlib import Path

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.common import event_loop
from tinrudder.common.address import Address
from tinrudder.common.garbage_collection import tune_garbage_collection
from tinrudder.common.logs import configure_logs, log_problem
from tinrudder.common.standard_streams import open_missing_standard_streams
from tinrudder.common.unhandled_errors import UnhandledErrors
from tinrudder.gateway.gateway import Gateway
from tinrudder.gateway.model.configuration import GatewaySettings, SettingsFileError
from tinrudder.gateway.observability.log_stream import BoundedLineStream
from tinrudder.gateway.store.stored_values import ValueDecoders
from tinrudder.platform.documents import (
    decode_backend,
    decode_configuration,
    decode_operator_key,
)
from tinrudder.platform.headers import HEADERS
from tinrudder.platform.load_header import decode_load_report
from tinrudder.platform.settings_file import SETTINGS_VARIABLE, load_gateway_settings
from tinrudder.platform.store_client import StoreClient

STANDARD_OUTPUT = 1
"""File descriptor that receives the logs."""
SETTINGS_POLL_INTERVAL_S = 1.0
"""Seconds between two checks of the settings file's modification time: a change takes effect within
about a second where no signal can be sent."""
SETTINGS_SETTLE_S = 1.0
"""Seconds since its last change for which an invalid settings file may still be being written: the
platform fills it in place, also while a process starts."""
NANOSECONDS_PER_S = 1e9
SETTINGS_RETRY_S = 0.05
"""Seconds between two attempts to read such a file."""
DECODERS = ValueDecoders(
    decode_operator_key, decode_configuration, decode_backend, decode_load_report
)


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Register the subcommand."""
    parser = subparsers.add_parser("gateway", help="run a gateway on the users' platform")
    add_flags(parser)
    parser.set_defaults(run=run)


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Add the flags of the command."""
    parser.add_argument(
        "--settings",
        type=Path,
        help=f"the platform's settings file; default: the environment variable {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--metrics-port", type=int, default=0, help="port that serves /metrics; 0 disables it"
    )
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument("--log-level", default="INFO", help="INFO, or WARNING to log only problems")


def run(arguments: argparse.Namespace) -> int:
    """Validate the settings, then run the gateway until a signal stops it."""
    path = arguments.settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    # Read the modification time before the file, so that a change during the read is noticed.
    modified_ns = _modified_ns(path)
    try:
        settings = _load_written_settings(path, 0.0 if arguments.check else SETTINGS_SETTLE_S)
    except SettingsFileError as error:
        print(f"tinrudder gateway: {error}", file=sys.stderr)
        return ExitCode.USAGE
    if arguments.check:
        print(f"{settings.name}: settings are valid")
        return ExitCode.OK
    is_output_closed = STANDARD_OUTPUT in open_missing_standard_streams()
    stream = BoundedLineStream(None if is_output_closed else STANDARD_OUTPUT)
    configure_logs(settings.name, arguments.log_level, stream)
    try:
        event_loop.run(_serve(settings, path, modified_ns, arguments.metrics_port, stream))
    except event_loop.NoSuspensionClockError as error:
        print(f"tinrudder gateway: {error}", file=sys.stderr)
        return ExitCode.USAGE
    return ExitCode.OK


def _load_written_settings(path: Path, settle_s: float) -> GatewaySettings:
    """Load the settings; wait for a file that may still be written.

    :param settle_s: seconds after its last change until an invalid file is taken as written.
    :raises SettingsFileError: the file is invalid.
    """
    # The number of attempts bounds the wait where the time of day has jumped.
    for _ in range(int(settle_s / SETTINGS_RETRY_S)):
        try:
            return load_gateway_settings(path)
        except SettingsFileError:
            age_s = (time.time_ns() - _modified_ns(path)) / NANOSECONDS_PER_S
            if not path.is_file() or age_s >= settle_s:
                raise
        time.sleep(SETTINGS_RETRY_S)
    return load_gateway_settings(path)


async def _serve(
    settings: GatewaySettings,
    path: Path,
    modified_ns: int,
    metrics_port: int,
    log_stream: BoundedLineStream,
) -> None:
    """Run the gateway; signals stop it or reload its settings."""
    metrics = Address(settings.clients.host, metrics_port) if metrics_port else None
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(UnhandledErrors().handle)
    gateway = Gateway(
        settings,
        HEADERS,
        DECODERS,
        StoreClient,
        metrics,
        lambda: log_stream.dropped,
        _max_descriptors(),
    )
    loop.add_signal_handler(signal.SIGTERM, gateway.request_stop)
    loop.add_signal_handler(signal.SIGINT, gateway.request_stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, gateway, path)
    gateway.supervisor.start("settings", partial(_poll_settings_file, gateway, path, modified_ns))
    tune_garbage_collection()
    await gateway.run()


def _max_descriptors() -> float:
    """Return how many descriptors this process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if limit == resource.RLIM_INFINITY else limit


def _reload(gateway: Gateway, path: Path) -> None:
    """Reload the settings; invalid settings are logged and ignored."""
    try:
        gateway.reload(load_gateway_settings(path))
    except SettingsFileError as error:
        log_problem("settings_refused", {"detail": str(error)})


async def _poll_settings_file(gateway: Gateway, path: Path, known_modified_ns: int) -> None:
    """Reload the settings whenever the modification time of the file changes."""
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        modified_ns = _modified_ns(path)
        if modified_ns != known_modified_ns:
            known_modified_ns = modified_ns
            _reload(gateway, path)


def _modified_ns(path: Path) -> int:
    """Return a file's modification time in nanoseconds, or 0 if the file cannot be accessed."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def main() -> int:
    """Run the gateway command without the other subcommands."""
    parser = argparse.ArgumentParser(prog="tinrudder gateway", description=__doc__)
    add_flags(parser)
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
