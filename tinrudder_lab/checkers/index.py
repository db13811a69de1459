"""Indexes of a history that several checkers share."""

from __future__ import annotations

from tinrudder_lab.history import CallSeen, History, QueryEnded, QuerySent


class HistoryIndex:
    """A history by query id and by index version."""

    def __init__(self, history: History) -> None:
        """Index a finished history."""
        self._calls: dict[str, list[CallSeen]] = {}
        self._operations: dict[str, list[CallSeen]] = {}
        for call in history.calls:
            self._calls.setdefault(call.query_id, []).append(call)
            if call.operation is not None:
                key = call.operation.rpartition("/")[2]
                self._operations.setdefault(key, []).append(call)
        self._shards = {(v.index, v.version): v.shards for v in history.versions}
        self._tenants = {version.index: version.tenants for version in history.versions}

    def calls_of(self, query_id: str) -> list[CallSeen]:
        """Return the calls of a query as recorded by back ends, in order of time."""
        return self._calls.get(query_id, []) if query_id else []

    def calls_for(self, sent: QuerySent, ended: QueryEnded) -> list[CallSeen]:
        """Return the calls that an answer may use; for an operation, those of all submissions."""
        if sent.request_key is not None:
            return self._operations.get(sent.request_key, [])
        return self.calls_of(ended.query_id)

    def shards_of(self, index: str, version: int | None) -> tuple[str, ...]:
        """Return the shards of a published version, none for an unknown one."""
        return self._shards.get((index, version or 0), ())

    def tenants_of(self, index: str) -> tuple[str, ...]:
        """Return the tenants that may query an index."""
        return self._tenants.get(index, ())
