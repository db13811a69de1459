"""The lab's rivals can stand where the node builds its own policies."""

from __future__ import annotations

import inspect

import pytest

from tinrudder.node import node
from tinrudder_lab.policies import NODE_WIDE


@pytest.mark.parametrize("name", sorted(NODE_WIDE))
def test_rival_takes_what_the_node_passes(name: str) -> None:
    attribute, rival = NODE_WIDE[name]
    parameters = inspect.signature(getattr(node, attribute)).parameters.values()
    required = [p for p in parameters if p.default is inspect.Parameter.empty]
    inspect.signature(rival).bind(*required)
