"""New clients take the place of idle ones, and never of those whose request is being served."""

from __future__ import annotations

from tinrudder.gateway.clients.connection_limit import ConnectionLimit


class FakeConnection:
    def __init__(self, *, busy: bool = False) -> None:
        self.busy = busy
        self.closed = False

    def close_if_idle(self) -> None:
        self.closed = not self.busy


def test_the_oldest_idle_connection_makes_room_for_a_new_one() -> None:
    limit = ConnectionLimit(3)
    connections = [FakeConnection(busy=number == 0) for number in range(5)]
    assert all(limit.admit(connection) for connection in connections)
    assert [connection.closed for connection in connections] == [False, True, True, False, False]
    assert (limit.evicted, limit.refused) == (2, 0)


def test_a_new_connection_is_refused_while_all_others_are_busy() -> None:
    limit = ConnectionLimit(2)
    first, second = FakeConnection(busy=True), FakeConnection(busy=True)
    assert limit.admit(first) and limit.admit(second)
    assert not limit.admit(FakeConnection())
    limit.remove(first)
    assert limit.admit(FakeConnection())
    assert limit.refused == 1
