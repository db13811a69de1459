"""Owns the resource API: every node serves reads, watches and validation.

Writes go to the platform.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from tinrudder.node.api.operators.operator_authentication import Viewer, authenticate_viewer
from tinrudder.node.api.operators.resource_bodies import (
    ErrorBody,
    NodeBody,
    NodesBody,
    ProblemBody,
    ResourceRenderer,
    ValidationBody,
    condition_bodies,
    enforcement_body,
)
from tinrudder.node.api.operators.resource_visibility import Snapshot, may_see, visible_keys
from tinrudder.node.api.operators.resource_watch import ResourceWatch, WatchRequest
from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.configuration_service.writer import ResourceBatch
from tinrudder.node.resources.accepted import ResourceKey
from tinrudder.node.resources.status import StatusReporter
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.node.resources.validation import DocumentRefusedError, Problem, problems_of

JSON = "application/json"
NEWLINE_DELIMITED_JSON = "application/x-ndjson"
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONTENT_TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
MAX_VALIDATE_BYTES = 4 * 1024 * 1024
"""Bytes of a validation request's body."""
RESOURCES_PER_PART = 100
"""Resources encoded before the listing yields to the event loop."""
ALL_METHODS = ["GET", "PUT", "POST", "PATCH", "DELETE"]

_batch_decoder = msgspec.json.Decoder(ResourceBatch)


@dataclass(frozen=True, slots=True)
class ResourceApiSettings:
    """The node settings that the resource API uses.

    :param node: name of this node.
    :param operators: SHA-256 of each operator's secret, by key id.
    :param write_url: URL at which operators write resources, empty if not configured.
    """

    node: str
    operators: Mapping[str, str]
    write_url: str = ""


class ResourceApplication:
    """Serves the paths under ``/v1/resources``."""

    def __init__(
        self,
        settings: ResourceApiSettings,
        store: ConfigurationStore,
        reporter: StatusReporter,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Serve the configuration in force in ``store``."""
        self._settings = settings
        self._store = store
        self._reporter = reporter
        self._watch = ResourceWatch(store, reporter, is_stopping)

    def routes(self) -> list[Route]:
        """Return the routes; fixed paths precede the parameterized path, which matches them too."""
        return [
            Route("/v1/resources", self._read_endpoint(self._list), methods=ALL_METHODS),
            Route(
                "/v1/resources/watch", self._read_endpoint(self._watch_lines), methods=ALL_METHODS
            ),
            Route("/v1/resources/nodes", self._read_endpoint(self._nodes), methods=ALL_METHODS),
            Route("/v1/resources/validate", self.validate, methods=["POST"]),
            Route(
                "/v1/resources/{kind}/{name}", self._read_endpoint(self._get), methods=ALL_METHODS
            ),
        ]

    async def validate(self, request: Request) -> Response:
        """Validate proposed writes against the configuration in force; operators only."""
        viewer = self._viewer(request)
        if viewer is None:
            return _unauthorized()
        if not viewer.is_operator:
            return _operators_only()
        body = await _read_body(request)
        if body is None:
            return _error(CONTENT_TOO_LARGE, "too_large", f"body: over {MAX_VALIDATE_BYTES} bytes")
        try:
            problems = self._new_problems(_batch_decoder.decode(body))
        except (msgspec.MsgspecError, DocumentRefusedError) as error:
            return _error(BAD_REQUEST, "invalid", str(error))
        bodies = tuple(
            ProblemBody(problem.key.kind, problem.key.name, problem.text) for problem in problems
        )
        return _json(ValidationBody(not bodies, bodies))

    def _read_endpoint(
        self, handler: Callable[[Request, Viewer], Response]
    ) -> Callable[..., object]:
        """Return an endpoint that authenticates the viewer and refuses writes."""

        async def endpoint(request: Request) -> Response:
            viewer = self._viewer(request)
            if viewer is None:
                return _unauthorized()
            if request.method not in ("GET", "HEAD"):
                return self._read_only(viewer)
            return handler(request, viewer)

        return endpoint

    def _viewer(self, request: Request) -> Viewer | None:
        authorization = request.headers.get("authorization")
        return authenticate_viewer(authorization, self._settings.operators, self._store.current)

    def _read_only(self, viewer: Viewer) -> Response:
        """Refuse a write; tell an operator the URL to write to."""
        detail = "resources are read-only here: write them to the platform"
        write_url = self._settings.write_url if viewer.is_operator else ""
        body = ErrorBody("read_only", detail, write_url)
        content = msgspec.json.encode(body)
        return Response(content, METHOD_NOT_ALLOWED, {"Allow": "GET, HEAD"}, JSON)

    def _list(self, request: Request, viewer: Viewer) -> Response:
        kind = request.query_params.get("kind", "")
        return StreamingResponse(self._list_parts(viewer, kind), media_type=JSON)

    async def _list_parts(self, viewer: Viewer, kind: str) -> AsyncIterator[bytes]:
        """Yield an encoded ``ResourceListBody`` in parts, so that queries can run between them."""
        snapshot = self._snapshot()
        keys = [key for key in visible_keys(viewer, snapshot) if not kind or key.kind == kind]
        renderer = ResourceRenderer(viewer, self._store, self._reporter)
        yield b'{"revision":%d,"resources":[' % snapshot.configuration.revision
        for start in range(0, len(keys), RESOURCES_PER_PART):
            part = keys[start : start + RESOURCES_PER_PART]
            bodies = (renderer.body(snapshot.state.resources[key]) for key in part)
            yield (b"," if start else b"") + b",".join(map(msgspec.json.encode, bodies))
            await asyncio.sleep(0)
        yield b"]}"

    def _get(self, request: Request, viewer: Viewer) -> Response:
        key = ResourceKey(request.path_params["kind"], request.path_params["name"])
        resource = self._store.state.resources.get(key)
        if resource is None or not may_see(viewer, key, self._store.current):
            return _error(NOT_FOUND, "not_found", f"no {key.kind} {key.name}")
        return _json(ResourceRenderer(viewer, self._store, self._reporter).body(resource))

    def _watch_lines(self, request: Request, viewer: Viewer) -> Response:
        text = request.query_params.get("from_revision", "0")
        if not text.isdecimal():
            return _error(BAD_REQUEST, "invalid", "from_revision: must be a whole number")
        if not self._watch.can_open(viewer):
            return _error(TOO_MANY_REQUESTS, "too_many_watches", "end another watch first")
        watch = WatchRequest(viewer, request.query_params.get("kind", ""), int(text))
        return StreamingResponse(self._watch.lines(watch), media_type=NEWLINE_DELIMITED_JSON)

    def _nodes(self, request: Request, viewer: Viewer) -> Response:
        if not viewer.is_operator:
            return _operators_only()
        text = request.query_params.get("revision", str(self._store.current.revision))
        if not text.isdecimal():
            return _error(BAD_REQUEST, "invalid", "revision: must be a whole number")
        count = self._reporter.count()
        nodes = tuple(
            NodeBody(member.name, member.zone, member.status, member.revision)
            for member in count.nodes
        )
        body = NodesBody(
            self._settings.node,
            self._store.current.revision,
            self._store.state.digest.hex(),
            enforcement_body(count.of(int(text))),
            nodes,
            condition_bodies(self._reporter.platform_conditions()),
        )
        return _json(body)

    def _new_problems(self, batch: ResourceBatch) -> list[Problem]:
        """Return problems in the resources of a batch, and new ones that it causes in others."""
        written = {(resource.kind, resource.name) for resource in batch.resources}
        problems = self._problems_with(batch)
        if all(problem.key in written for problem in problems):
            return problems
        before = self._problems_with(ResourceBatch())
        return [
            candidate
            for candidate in problems
            if candidate.key in written or candidate not in before
        ]

    def _problems_with(self, batch: ResourceBatch) -> list[Problem]:
        document = self._document_with(batch)
        return problems_of(document, self._store.policies, self._store.state)

    def _document_with(self, batch: ResourceBatch) -> ResourceDocument:
        """Return the configuration in force with a batch applied."""
        replaced = {(resource.kind, resource.name) for resource in batch.resources}
        replaced |= {(resource.kind, resource.name) for resource in batch.delete}
        kept = tuple(
            RawResource(
                key.kind, key.name, accepted.accepted_generation, msgspec.Raw(accepted.raw_spec)
            )
            for key, accepted in self._store.state.resources.items()
            if accepted.raw_spec and key not in replaced
        )
        new = tuple(
            RawResource(resource.kind, resource.name, 1, resource.spec)
            for resource in batch.resources
        )
        return ResourceDocument(self._store.current.revision + 1, kept + new)

    def _snapshot(self) -> Snapshot:
        return Snapshot(self._store.state, self._store.current)


async def _read_body(request: Request) -> bytes | None:
    """Return the body, ``None`` if it exceeds ``MAX_VALIDATE_BYTES``."""
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MAX_VALIDATE_BYTES:
            return None
    return bytes(body)


def _json(body: msgspec.Struct) -> Response:
    return Response(msgspec.json.encode(body), media_type=JSON)


def _error(status: int, error: str, detail: str) -> Response:
    return Response(msgspec.json.encode(ErrorBody(error, detail)), status, media_type=JSON)


def _unauthorized() -> Response:
    return _error(UNAUTHORIZED, "unauthorized", "authorization: not a valid credential")


def _operators_only() -> Response:
    return _error(FORBIDDEN, "forbidden", "for operators only")
