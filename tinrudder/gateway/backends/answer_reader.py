"""Parses one HTTP/1.1 answer and decides whether its connection may be reused.

httptools parses the bytes. This module adds the cases that httptools leaves to its caller: answers
delimited by the end of the connection, answers to HEAD, interim (1xx) answers, and trailing bytes
after a complete answer.

Owns the bytes of the answer that it parses. A connection creates one reader for each call.
"""

from __future__ import annotations

import enum

import httptools

from tinrudder.common.http_status import INTERIM_STATUSES, is_expected_status
from tinrudder.gateway.model.body_parts import BodyParts
from tinrudder.gateway.model.http_messages import Header, HttpAnswer

MAX_HEAD_BYTES = 64 * 1024
"""Largest head of an answer, bytes, and most bytes of framing between two parts of its body: chunk
sizes, chunk extensions and trailers. The parser buffers these, and a server that sends more is
faulty."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body of an answer, bytes. Bodies are buffered whole, so this bounds the memory that one
call can use."""
STATUSES_WITHOUT_BODY = (204, 304)
HTTP_VERSION_WITH_KEEP_ALIVE = "1.1"


class FragmentedBodyError(Exception):
    """The body arrives in too many parts; ends the parser's work on the bytes at hand."""


class UnknownStatusError(Exception):
    """The status is neither final nor interim; ends the parser's work on the bytes at hand."""


class ReadState(enum.Enum):
    """Progress of parsing an answer."""

    READING = "reading"
    COMPLETE = "complete"
    UNREADABLE = "unreadable"


class AnswerReader:
    """Parses the bytes of one answer.

    Create a new reader for each answer; it costs one parser object.

    >>> reader = AnswerReader(body_expected=True)
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok")
    <ReadState.COMPLETE: 'complete'>
    >>> reader.answer.body, reader.reusable
    (b'ok', True)
    """

    def __init__(self, *, body_expected: bool) -> None:
        """Start parsing an answer.

        :param body_expected: false for an answer to HEAD.
        """
        self.state = ReadState.READING
        self.reusable = False
        self.detail = ""
        self._body_expected = body_expected
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[Header] = []
        self._body = BodyParts()
        self._status = 0
        self._problem = ""
        # Bytes since the start, or since the last part of the body.
        self._framing_bytes = 0
        self._head_complete = False
        self._message_complete = False
        self._framed = False
        self._must_close = False
        self._has_begun = False

    @property
    def body_bytes(self) -> int:
        """Bytes of the body received so far; 0 once the answer is unreadable."""
        return self._body.size

    @property
    def begun(self) -> bool:
        """Whether any byte of an answer has arrived, including interim answers."""
        return self._has_begun

    @property
    def answer(self) -> HttpAnswer:
        """The answer; valid only in state ``COMPLETE``."""
        return HttpAnswer(self._status, self._reason, tuple(self._headers), self._body.join())

    def feed(self, data: bytes) -> ReadState:
        """Parse the bytes that arrived."""
        if self.state is not ReadState.READING:
            self.reusable = False
            return self.state
        self._has_begun = True
        body_bytes = self.body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._must_close = True
            if not self._message_complete:
                return self._fail(self._problem or f"unreadable answer: {error!r}")
        if self._message_complete:
            return self._complete()
        self._framing_bytes = 0 if self.body_bytes > body_bytes else self._framing_bytes + len(data)
        if self._framing_bytes > MAX_HEAD_BYTES:
            return self._fail("head or framing of the answer larger than MAX_HEAD_BYTES")
        if self.body_bytes > MAX_ANSWER_BYTES:
            return self._fail(f"answer larger than {MAX_ANSWER_BYTES} bytes")
        return self.state

    def end_of_stream(self) -> ReadState:
        """Handle an orderly close, which completes an answer without a declared length."""
        if self.state is not ReadState.READING:
            return self.state
        if self._head_complete and not self._framed:
            return self._complete()
        return self._fail("the connection ended inside the answer")

    def close(self) -> None:
        """Stop reading an answer that nobody waits for any more, and release its bytes."""
        if self.state is ReadState.READING:
            self._fail("closed")

    def on_message_begin(self) -> None:
        """Detect trailing bytes after a complete answer (parser callback)."""
        if self._message_complete:
            self._must_close = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase (parser callback)."""
        if not self._message_complete:
            self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, and discard a trailer (parser callback).

        A trailer could otherwise replace what the head says of the answer.
        """
        if not self._message_complete and not self._head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the status, and determine the framing of the answer (parser callback)."""
        if self._message_complete:
            return
        self._status = self._parser.get_status_code()
        self._check_status()
        if self._status in INTERIM_STATUSES:
            return
        self._head_complete = True
        names = {name for name, _ in self._headers}
        self._framed = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or self._status in STATUSES_WITHOUT_BODY
        )
        if not self._body_expected:
            self._message_complete = True
            self._must_close = True

    def on_body(self, body: bytes) -> None:
        """Collect part of the body (parser callback)."""
        if self._message_complete:
            return
        self._body.add(body)
        if self._body.is_fragmented:
            raise FragmentedBodyError

    def on_message_complete(self) -> None:
        """Mark the answer complete, or skip an interim answer (parser callback)."""
        if self._message_complete:
            return
        if self._status in INTERIM_STATUSES:
            self._discard_interim()
            return
        self._message_complete = True
        self.reusable = (
            self._parser.should_keep_alive()
            and self._parser.get_http_version() == HTTP_VERSION_WITH_KEEP_ALIVE
            and self._framed
        )

    def _check_status(self) -> None:
        """Refuse an answer whose status is no answer to a call.

        :raises UnknownStatusError: it is neither final nor an interim one that a final one follows.
        """
        if not is_expected_status(self._status):
            self._problem = f"unreadable answer: status {self._status:03d}"
            raise UnknownStatusError

    def _discard_interim(self) -> None:
        """Discard an interim answer, so that the final one can be parsed."""
        self._headers.clear()
        self._reason = b""
        self._head_complete = False

    def _complete(self) -> ReadState:
        """Finish in state ``COMPLETE``."""
        if self._must_close:
            self.reusable = False
        self.state = ReadState.COMPLETE
        self._release_parser()
        return self.state

    def _fail(self, detail: str) -> ReadState:
        """Finish in state ``UNREADABLE``."""
        self.reusable = False
        self.detail = detail
        self.state = ReadState.UNREADABLE
        self._body = BodyParts()
        self._release_parser()
        return self.state

    def _release_parser(self) -> None:
        """Break the reference cycle with the parser, which would keep the body in memory until the
        next garbage collection.
        """
        del self._parser
