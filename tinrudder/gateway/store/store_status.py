"""Records whether the store answers this gateway, and how many calls were made.

Owns the result of the latest call of each topic's follower and the count of all calls. Relies on
the followers to record every result.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.store.stored_values import Topic

ReachabilityListener = Callable[[Topic, bool, str], None]


class StoreStatus:
    """Reachability of the store as found by this gateway's calls.

    :ivar calls: calls to the store since the process started.
    """

    def __init__(self, on_change: ReachabilityListener) -> None:
        """Call ``on_change`` when a topic is lost or regained; initially all are lost."""
        self.calls = 0
        self._on_change = on_change
        self._listeners: list[Callable[[], None]] = []
        self._reachable: set[Topic] = set()
        self._lost: set[Topic] = set()

    @property
    def is_reachable(self) -> bool:
        """Tell whether the latest call of every topic was answered."""
        return len(self._reachable) == len(Topic)

    @property
    def is_lost(self) -> bool:
        """Tell whether the latest call of any topic that this gateway follows was not answered."""
        return bool(self._lost)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a topic is lost or regained."""
        self._listeners.append(listener)

    def count_call(self) -> None:
        """Count a call to the store."""
        self.calls += 1

    def note_answered(self, topic: Topic) -> None:
        """Record that a call was answered."""
        self._lost.discard(topic)
        if topic not in self._reachable:
            self._reachable.add(topic)
            self._notify(topic, reachable=True, detail="")

    def note_unanswered(self, topic: Topic, detail: str) -> None:
        """Record that a call was not answered; ``detail`` gives the reason."""
        self._lost.add(topic)
        if topic in self._reachable:
            self._reachable.discard(topic)
            self._notify(topic, reachable=False, detail=detail)

    def note_not_followed(self, topic: Topic) -> None:
        """Record that other gateways follow a topic for this one: it does not count as lost."""
        self._lost.discard(topic)

    def _notify(self, topic: Topic, *, reachable: bool, detail: str) -> None:
        """Notify all listeners."""
        self._on_change(topic, reachable, detail)
        for listener in self._listeners:
            listener()
