"""Exit codes of every subcommand; docs/COMMANDS.md quotes this table."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """The result of a command.

    ``NEGATIVE`` reports a result rather than an error: the file is invalid, the specs differ, or
    the resource was refused.
    """

    OK = 0
    NEGATIVE = 1
    USAGE = 2
    UNREACHABLE = 3
    DENIED = 4
    NOT_FOUND = 5
    LAGGING = 6
    QUERY_PARTIAL = 10
    QUERY_NOT_RUN = 11
    QUERY_MAY_HAVE_RUN = 12
    QUERY_FAILED = 13


class CommandError(Exception):
    """A command cannot continue; carries a message for users and an exit code for scripts."""

    def __init__(self, code: ExitCode, text: str) -> None:
        """Exit with ``code`` after printing ``text``."""
        super().__init__(text)
        self.code = code
