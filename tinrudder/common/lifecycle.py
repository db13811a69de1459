"""The life cycle of a process, from startup to the end of a planned stop.

Owns the state and the allowed transitions; the owner of the process triggers them.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from transitions import Machine


class NodeState(enum.StrEnum):
    """Life-cycle states of a node.

    ``leaving``: the stop is announced; requests that still arrive are served.
    ``draining``: new requests are refused as not run; requests in progress are finished.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


_RUNNING = [NodeState.STARTING.value, NodeState.SERVING.value]


class NodeLifecycle:
    """State machine over :class:`NodeState`; it never goes back to an earlier state."""

    state: str
    trigger: Callable[[str], bool]

    def __init__(self) -> None:
        """Start in ``starting``."""
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
        """Tell whether the node is still starting."""
        return self.state == NodeState.STARTING

    def is_ready(self) -> bool:
        """Tell whether callers and load balancers should send requests to this node."""
        return self.state == NodeState.SERVING

    def accepts_work(self) -> bool:
        """Tell whether requests that still arrive are served."""
        return self.state in (NodeState.SERVING, NodeState.LEAVING)

    def is_stopping(self) -> bool:
        """Tell whether a stop has begun."""
        return self.state in (NodeState.LEAVING, NodeState.DRAINING, NodeState.STOPPED)
