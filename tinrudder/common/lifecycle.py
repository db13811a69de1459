"""The lifecycle of a process, from its start to the end of a planned stop.

Owns the state and which transitions there are; whoever owns the process triggers them.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from transitions import Machine


class NodeState(enum.StrEnum):
    """What a node is doing.

    ``leaving``: the stop is announced, and everything that still arrives is served.
    ``draining``: new work is refused as not run, and what is in progress is finished.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


_RUNNING = [NodeState.STARTING.value, NodeState.SERVING.value]


class NodeLifecycle:
    """Walks through :class:`NodeState`, never backwards."""

    state: str
    trigger: Callable[[str], bool]

    def __init__(self) -> None:
        """Begin in ``starting``."""
        Machine(
            model=self,
            states=[state.value for state in NodeState],
            initial=NodeState.STARTING.value,
            auto_transitions=False,
            transitions=[
                {"trigger": "serve", "source": "starting", "dest": "serving"},
                {"trigger": "leave", "source": _RUNNING, "dest": "leaving"},
                {"trigger": "drain", "source": _RUNNING + ["leaving"], "dest": "draining"},
                {"trigger": "finish", "source": "draining", "dest": "stopped"},
            ],
        )

    def is_before_ready(self) -> bool:
        """Tell whether the node is not ready yet."""
        return self.state == NodeState.STARTING

    def is_ready(self) -> bool:
        """Tell whether callers and load balancers should choose this node."""
        return self.state == NodeState.SERVING

    def accepts_work(self) -> bool:
        """Tell whether work that still arrives is served."""
        return self.state in (NodeState.SERVING, NodeState.LEAVING)

    def is_stopping(self) -> bool:
        """Tell whether a stop has begun."""
        return self.state in (NodeState.LEAVING, NodeState.DRAINING, NodeState.STOPPED)
