"""Frames on a TCP connection between two nodes.

A frame consists of a 4-byte payload length, a 1-byte type, an 8-byte request id and the payload.
Owns this format and its limits; callers define what a payload contains.
"""

from __future__ import annotations

import asyncio
import enum
import struct

from msgspec import Struct

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum payload size, bytes: bounds the memory that one frame of a peer can occupy."""
MAX_ERROR_BYTES = 1024
"""Maximum size of an error text, bytes: it has to fit the name of an error's type."""
FRAME_BODY_TIMEOUT_S = 10.0
"""Time limit for reading a payload after its header, seconds: closes a connection whose peer stops
in the middle of a frame."""
_HEADER = struct.Struct("!IBQ")


class FrameType(enum.IntEnum):
    """Frame types.

    ``REFUSED``: the peer did not start the request. ``ERROR``: the peer started it, and it failed.
    ``ACKNOWLEDGED_REQUEST``: the peer replies ``ACCEPTED`` at once and then periodically while it
    works on the request. It starts only on ``CONFIRMED``, with which the sender replies to the
    first ``ACCEPTED``: a peer that the sender has meanwhile taken for dead never starts the
    request.
    ``TRACKED_REQUEST``: the same without ``CONFIRMED``. The peer starts at once, which saves a
    round trip, so a sender that receives no ``ACCEPTED`` must tolerate that the request may still
    start later.
    """

    REQUEST = 1
    ANSWER = 2
    CANCEL = 3
    REFUSED = 4
    ERROR = 5
    ACKNOWLEDGED_REQUEST = 6
    ACCEPTED = 7
    CONFIRMED = 8
    TRACKED_REQUEST = 9


class FrameError(Exception):
    """Received bytes are not a valid frame; the rest of the connection cannot be trusted."""


class Frame(Struct, frozen=True):
    """One frame of a request or of its reply."""

    frame_type: FrameType
    request_id: int
    payload: bytes = b""


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame.

    >>> len(encode_frame(Frame(FrameType.CANCEL, 7)))
    13
    """
    return _HEADER.pack(len(frame.payload), frame.frame_type, frame.request_id) + frame.payload


class FrameHeader(Struct, frozen=True):
    """The decoded header of a frame; the payload follows it."""

    length: int
    frame_type: FrameType
    request_id: int


async def read_header(reader: asyncio.StreamReader) -> FrameHeader:
    """Read a frame's header; cancelling the read loses no bytes.

    :raises FrameError: the payload is too large, or the type is unknown.
    :raises EOFError: the connection ended.
    """
    length, type_number, request_id = _HEADER.unpack(await reader.readexactly(_HEADER.size))
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"frame payload: {length} bytes, at most {MAX_FRAME_BYTES}")
    try:
        frame_type = FrameType(type_number)
    except ValueError as error:
        raise FrameError(f"frame type: {error}") from error
    return FrameHeader(length, frame_type, request_id)


async def read_payload(reader: asyncio.StreamReader, header: FrameHeader) -> Frame:
    """Read the payload that follows a header.

    :raises FrameError: the payload did not arrive within ``FRAME_BODY_TIMEOUT_S``.
    :raises EOFError: the connection ended.
    """
    if header.length == 0:
        return Frame(header.frame_type, header.request_id)
    try:
        async with asyncio.timeout(FRAME_BODY_TIMEOUT_S):
            payload = await reader.readexactly(header.length)
    except TimeoutError as error:
        raise FrameError(f"frame payload: {header.length} bytes did not arrive in time") from error
    return Frame(header.frame_type, header.request_id, payload)
