"""Reads operators' resource files, in TOML or JSON.

Owns the file format and its conversion to writes.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.configuration_service.writer import ResourceBatch, ResourceName, ResourceWrite


class FileResource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource in a file."""

    kind: str
    name: str
    spec: dict[str, object] = {}


class ResourceFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A file of resources to write and resources to delete."""

    resources: tuple[FileResource, ...] = ()
    delete: tuple[ResourceName, ...] = ()

    def batch(self) -> ResourceBatch:
        """Return the file as a batch of writes."""
        writes = (
            ResourceWrite(one.kind, one.name, msgspec.Raw(msgspec.json.encode(one.spec)))
            for one in self.resources
        )
        return ResourceBatch(tuple(writes), self.delete)

    def document(self) -> ResourceDocument:
        """Return the file as a complete platform document, for validation without a node."""
        resources = (
            RawResource(write.kind, write.name, 1, write.spec) for write in self.batch().resources
        )
        return ResourceDocument(1, tuple(resources))


def load_resource_file(path: Path) -> ResourceFile:
    """Read a file.

    :raises CommandError: the file cannot be read or is invalid; the message names the field and the
        rule.
    """
    try:
        content = path.read_bytes()
        if path.suffix == ".json":
            return msgspec.json.decode(content, type=ResourceFile)
        return msgspec.convert(tomllib.loads(content.decode()), ResourceFile)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error}") from error
