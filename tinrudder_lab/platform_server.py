"""A stub of the platform: nodes only read it, operators and the lab write to it."""

from __future__ import annotations

import argparse
from pathlib import Path

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.gzip import GZipMiddleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.node.configuration_service.messages import (
    MemberList,
    MemberState,
    PlatformMember,
    RawResource,
    ResourceDocument,
)
from tinrudder.node.configuration_service.writer import ResourceBatch, ResourceWrite

__all__ = ["PlatformState", "ResourceWrite", "build_app"]

JSON = "application/json"
NOT_MODIFIED = 304
BAD_REQUEST = 400


class PlatformState(msgspec.Struct):
    """The state of the platform: resources and the member list."""

    document: ResourceDocument
    members: MemberList

    def write(self, resource: ResourceWrite) -> int:
        """Store one resource, raise its generation and the revision; return the revision."""
        kept = []
        generation = 1
        for raw in self.document.resources:
            if (raw.kind, raw.name) == (resource.kind, resource.name):
                generation = raw.generation + 1
            else:
                kept.append(raw)
        kept.append(RawResource(resource.kind, resource.name, generation, resource.spec))
        revision = self.document.revision + 1
        self.document = ResourceDocument(revision, tuple(kept))
        return revision

    def write_batch(self, batch: ResourceBatch) -> int:
        """Store and delete resources in one revision; keep the revision if nothing changes."""
        held = {(raw.kind, raw.name): raw for raw in self.document.resources}
        before = dict(held)
        for write in batch.resources:
            key = (write.kind, write.name)
            former = held.get(key)
            if former is None or bytes(former.spec) != bytes(write.spec):
                generation = former.generation + 1 if former else 1
                held[key] = RawResource(write.kind, write.name, generation, write.spec)
        for name in batch.delete:
            held.pop((name.kind, name.name), None)
        if held != before:
            revision = self.document.revision + 1
            self.document = ResourceDocument(revision, tuple(held.values()), len(held))
        return self.document.revision

    def set_member_state(self, name: str, state: MemberState) -> None:
        """Change the state of one machine in the member list."""
        members = tuple(
            msgspec.structs.replace(member, state=state) if member.name == name else member
            for member in self.members.members
        )
        self.members = MemberList(self.members.revision + 1, members)

    def replace_members(self, members: tuple[PlatformMember, ...]) -> None:
        """Replace the member list."""
        self.members = MemberList(self.members.revision + 1, members)


def build_app(state: PlatformState) -> Starlette:
    """Return the HTTP application over ``state``."""

    async def get_resources(request: Request) -> Response:
        if request.query_params.get("known_revision") == str(state.document.revision):
            return Response(status_code=NOT_MODIFIED)
        return Response(msgspec.json.encode(state.document), media_type=JSON)

    async def get_members(request: Request) -> Response:
        if request.query_params.get("known_revision") == str(state.members.revision):
            return Response(status_code=NOT_MODIFIED)
        return Response(msgspec.json.encode(state.members), media_type=JSON)

    async def put_resource(request: Request) -> Response:
        write = msgspec.json.decode(await request.body(), type=ResourceWrite)
        revision = state.write(write)
        return Response(msgspec.json.encode({"revision": revision}), media_type=JSON)

    async def post_resources(request: Request) -> Response:
        try:
            batch = msgspec.json.decode(await request.body(), type=ResourceBatch)
        except msgspec.MsgspecError as error:
            return Response(str(error), BAD_REQUEST)
        return Response(
            msgspec.json.encode({"revision": state.write_batch(batch)}), media_type=JSON
        )

    async def put_members(request: Request) -> Response:
        body = await request.body()
        state.replace_members(msgspec.json.decode(body, type=tuple[PlatformMember, ...]))
        return Response(b"{}", media_type=JSON)

    return Starlette(
        routes=[
            Route("/v1/resources", get_resources, methods=["GET"]),
            Route("/v1/resources", put_resource, methods=["PUT"]),
            Route("/v1/resources", post_resources, methods=["POST"]),
            Route("/v1/members", get_members, methods=["GET"]),
            Route("/v1/members", put_members, methods=["PUT"]),
        ],
        middleware=[Middleware(GZipMiddleware, minimum_size=1024)],
    )


def main() -> None:
    """Serve a state read from a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--state", type=Path, required=True)
    arguments = parser.parse_args()
    state = msgspec.json.decode(arguments.state.read_bytes(), type=PlatformState)
    uvicorn.run(
        build_app(state),
        host=arguments.host,
        port=arguments.port,
        loop="asyncio",
        log_level="warning",
    )


if __name__ == "__main__":
    main()
