"""The answer parser against an oracle: complete answers are read, and ambiguous bytes never are.

Guards against a truncated answer that counts as complete, and against bytes of one answer that
become part of another on a reused connection.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.backends.answer_reader import (
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
    AnswerReader,
    ReadState,
)
from tinrudder_lab.emulator.endless_answers import EndlessAnswer

BODIES = st.binary(max_size=40)


def feed(reader: AnswerReader, data: bytes, cuts: list[int]) -> None:
    positions = sorted({cut % (len(data) + 1) for cut in cuts})
    for start, end in zip([0, *positions], [*positions, len(data)], strict=True):
        if reader.state is ReadState.READING and end > start:
            reader.feed(data[start:end])


def framed(body: bytes, *, chunked: bool) -> bytes:
    if not chunked:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


@given(body=BODIES, chunked=st.booleans(), cuts=st.lists(st.integers(0, 500), max_size=5))
def test_a_whole_answer_is_read_however_it_is_cut(
    body: bytes, chunked: bool, cuts: list[int]
) -> None:
    reader = AnswerReader(body_expected=True)
    feed(reader, framed(body, chunked=chunked), cuts)
    assert reader.state is ReadState.COMPLETE
    assert reader.answer.body == body
    assert reader.reusable


@given(body=st.binary(min_size=1, max_size=40), chunked=st.booleans(), lost=st.integers(1, 40))
def test_an_answer_that_is_cut_short_is_never_complete(
    body: bytes, chunked: bool, lost: int
) -> None:
    data = framed(body, chunked=chunked)
    reader = AnswerReader(body_expected=True)
    reader.feed(data[: max(1, len(data) - lost)])
    assert reader.state is not ReadState.COMPLETE
    assert reader.end_of_stream() is ReadState.UNREADABLE


@given(body=BODIES, excess=st.binary(min_size=1, max_size=80), chunked=st.booleans())
def test_bytes_behind_an_answer_close_the_connection(
    body: bytes, excess: bytes, chunked: bool
) -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(framed(body, chunked=chunked) + excess)
    if excess.strip(b"\r\n"):
        assert not reader.reusable
    if reader.state is ReadState.COMPLETE:
        assert reader.answer.body == body


@given(first=BODIES, second=BODIES)
def test_a_second_answer_never_becomes_part_of_the_first(first: bytes, second: bytes) -> None:
    reader = AnswerReader(body_expected=True)
    data = framed(first, chunked=False)
    reader.feed(data + framed(second, chunked=False))
    assert reader.state is ReadState.COMPLETE
    assert reader.answer.body == first
    assert len(reader.answer.headers) == 1
    assert not reader.reusable


@given(data=st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(data)
    if reader.state is ReadState.READING:
        reader.end_of_stream()
    assert reader.state in (ReadState.COMPLETE, ReadState.UNREADABLE)


def test_an_answer_without_length_ends_with_its_connection_and_is_not_reused() -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert reader.state is ReadState.READING
    assert reader.end_of_stream() is ReadState.COMPLETE
    assert reader.answer.body == b"abc"
    assert not reader.reusable


def test_interim_answers_are_passed_over() -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + framed(b"ok", chunked=False))
    assert (reader.answer.status, reader.answer.body) == (200, b"ok")


def test_a_head_answer_has_no_body() -> None:
    reader = AnswerReader(body_expected=False)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
    assert reader.state is ReadState.COMPLETE
    assert reader.answer.body == b""


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\na",
        b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na",
    ],
)
def test_a_connection_that_ends_is_not_reused(head: bytes) -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(head)
    assert reader.state is ReadState.COMPLETE
    assert not reader.reusable


@pytest.mark.parametrize("answer", EndlessAnswer)
def test_an_endless_answer_is_refused_within_its_bound(answer: EndlessAnswer) -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(answer.first) if answer.first else None
    received = body_bytes = 0
    while reader.state is ReadState.READING:
        assert received <= MAX_ANSWER_BYTES * 8
        received += len(answer.block)
        body_bytes = max(body_bytes, reader.body_bytes)
        reader.feed(answer.block)
    assert reader.state is ReadState.UNREADABLE
    assert body_bytes > MAX_HEAD_BYTES or received <= MAX_HEAD_BYTES + len(answer.block)


def test_a_trailer_changes_nothing_of_the_head() -> None:
    reader = AnswerReader(body_expected=True)
    reader.feed(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Part: a\r\n\r\n1\r\nx\r\n0\r\n"
    )
    reader.feed(b"X-Part: b\r\nTinrudder-Not-Run: 1\r\n\r\n")
    assert reader.state is ReadState.COMPLETE
    assert reader.answer.headers == ((b"transfer-encoding", b"chunked"), (b"x-part", b"a"))


def test_a_body_of_tiny_chunks_takes_little_of_the_processor() -> None:
    """Each chunk costs a call from the parser, and parsing keeps the process from other work."""
    reader = AnswerReader(body_expected=True)
    reader.feed(EndlessAnswer.TINY_CHUNKS.first)
    assert reader.feed(EndlessAnswer.TINY_CHUNKS.block) is ReadState.UNREADABLE


@given(parts=st.lists(st.binary(min_size=8, max_size=40), max_size=60), repeats=st.integers(1, 300))
def test_a_body_in_many_parts_is_whole(parts: list[bytes], repeats: int) -> None:
    parts = parts * repeats
    reader = AnswerReader(body_expected=True)
    reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    reader.feed(b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n")
    assert reader.answer.body == b"".join(parts)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"])
@pytest.mark.parametrize("length", [b"Content-Length: 0\r\n", b""])
def test_an_answer_that_ends_inside_its_head_is_never_whole(interim: bytes, length: bytes) -> None:
    head = b"HTTP/1.1 200 OK\r\nTinrudder-Server-Stamp: s\r\n" + length + b"\r\n"
    for size in range(len(head)):
        reader = AnswerReader(body_expected=True)
        if interim:
            reader.feed(interim)
        if size:
            reader.feed(head[:size])
        assert reader.state is not ReadState.COMPLETE
        assert reader.end_of_stream() is ReadState.UNREADABLE
