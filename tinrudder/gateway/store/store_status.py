"""Whether the store answers this gateway, and how often it was called.

Owns the result of the latest call of each topic's follower, the count of all calls, and whether the
store shows less than is known; relies on the followers to note every result.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.store.stored_values import Reading, Topic

ReachabilityListener = Callable[[Topic, bool, str], None]


class ShownRevision(Struct, frozen=True):
    """What the store showed of a topic, beside what this gateway knows.

    :param shown: the store's revision in its answer.
    :param known: the highest revision known here.
    """

    topic: Topic
    epoch: int
    shown: int
    known: int

    @property
    def is_behind(self) -> bool:
        """Tell whether the store shows less than is known."""
        return self.shown < self.known


HistoryListener = Callable[[ShownRevision], None]


class StoreStatus:
    """The store as this gateway's calls find it.

    :ivar calls: calls to the store since the process started.
    :ivar epoch: the store's, in its latest answer; 0: none was told.
    """

    def __init__(
        self,
        on_change: ReachabilityListener,
        on_history: HistoryListener,
        clock: Callable[[], float],
    ) -> None:
        """Tell ``on_change`` when a topic is lost or regained, and why; all begin as lost.

        :param on_history: is told when the store's epoch changes, and when what it shows of a topic
            falls behind what is known here or has caught up.
        """
        self.calls = 0
        self.epoch = 0
        self._on_history = on_history
        self._clock = clock
        self._behind_since: dict[Topic, float] = {}
        self._on_change = on_change
        self._reachable: set[Topic] = set()
        self._lost: set[Topic] = set()

    @property
    def is_reachable(self) -> bool:
        """Tell whether the last call of every topic was answered."""
        return len(self._reachable) == len(Topic)

    @property
    def is_lost(self) -> bool:
        """Tell whether some topic is asked for and its last call was not answered."""
        return bool(self._lost)

    def count_call(self) -> None:
        """Count a call to the store."""
        self.calls += 1

    @property
    def behind_s(self) -> float:
        """Return for how long the store has shown less than is known; 0: it does not."""
        return self._clock() - min(self._behind_since.values(), default=self._clock())

    def note_shown(self, topic: Topic, reading: Reading, known: int) -> None:
        """Note an answer, and the highest revision known here when it came."""
        shown = ShownRevision(topic, reading.epoch, reading.revision, known)
        changed = reading.epoch != self.epoch or shown.is_behind != (topic in self._behind_since)
        self.epoch = reading.epoch
        if not shown.is_behind:
            self._behind_since.pop(topic, None)
        elif topic not in self._behind_since:
            self._behind_since[topic] = self._clock()
        if changed:
            self._on_history(shown)

    def note_answered(self, topic: Topic) -> None:
        """Note that a call was answered."""
        self._lost.discard(topic)
        if topic not in self._reachable:
            self._reachable.add(topic)
            self._on_change(topic, True, "")

    def note_unanswered(self, topic: Topic, detail: str) -> None:
        """Note that a call was not answered; ``detail`` says why."""
        self._lost.add(topic)
        if topic in self._reachable:
            self._reachable.discard(topic)
            self._on_change(topic, False, detail)

    def note_not_asked(self, topic: Topic) -> None:
        """Note that others follow a topic for this gateway: nothing is lost that is not asked."""
        self._lost.discard(topic)
