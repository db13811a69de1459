"""Looks up the explanation of a query on this node, or on a coordinator of its service.

The node that received a query records its outcome and service; the coordinator that ran it records
each call.  A lookup must be sent to the node that received the query.  Owns no state: the rings
belong to the node.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tinrudder.node.decisions.coordinator_set import CoordinatorSet
from tinrudder.node.query.explanations.explain import ExplanationRing
from tinrudder.node.wire.explain_codec import (
    ExplainCodecError,
    ExplainLookupRequest,
    decode_explanation,
    decode_lookup_request,
    encode_explanation,
    encode_lookup_request,
)
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError, PeerTransport

LOOKUP_TIMEOUT_S = 1.0
"""Timeout in seconds for a lookup on another node; the requesting operator waits for it."""


class ExplainLookup:
    """Client and server of lookups: queries coordinators and answers other nodes."""

    def __init__(
        self,
        node_name: str,
        channel: PeerTransport,
        coordinated: ExplanationRing,
        received: ExplanationRing,
        coordinators: Callable[[str], CoordinatorSet],
    ) -> None:
        """Create a lookup over two rings.

        :param coordinated: queries that this node ran.
        :param received: queries that this node received from callers.
        """
        self._node_name = node_name
        self._channel = channel
        self._coordinated = coordinated
        self._received = received
        self._coordinators = coordinators
        channel.listen(_ignore_datagram, self._on_request)

    async def find(self, query_id: str, tenant: str | None) -> bytes | None:
        """Return the most detailed explanation found, as JSON; ``None`` if there is none.

        :param tenant: the tenant that the query must belong to, ``None`` for an operator.
        """
        found = self._coordinated.find(query_id, tenant)
        if found is not None:
            return msgspec.json.encode(found)
        received = self._received.find(query_id, tenant)
        if received is None:
            return None
        lookup_request = ExplainLookupRequest(query_id, tenant)
        for member in self._coordinators(received.service).members:
            if member.name == self._node_name:
                continue
            explanation = await self._ask_coordinator(member.address, lookup_request)
            if explanation is not None:
                return explanation
        return msgspec.json.encode(received)

    async def _ask_coordinator(
        self, peer: PeerAddress, lookup_request: ExplainLookupRequest
    ) -> bytes | None:
        """Request the explanation from one coordinator; ``None`` if it has none or fails."""
        try:
            answer = await self._channel.request(
                peer, encode_lookup_request(lookup_request), LOOKUP_TIMEOUT_S
            )
            return decode_explanation(answer)
        except (PeerNotSentError, PeerLostError, ExplainCodecError):
            return None

    async def _on_request(self, _source: PeerAddress, payload: bytes) -> bytes:
        """Answer another node; a malformed request gets an empty answer."""
        try:
            lookup_request = decode_lookup_request(payload)
        except ExplainCodecError:
            return encode_explanation(None)
        found = self._coordinated.find(lookup_request.query_id, lookup_request.tenant)
        return encode_explanation(msgspec.json.encode(found) if found is not None else None)


def _ignore_datagram(_source: PeerAddress, _payload: bytes) -> None:
    """Ignore a datagram: lookups are sent as requests only."""
