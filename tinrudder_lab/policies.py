"""Policies by name for ``--policy``: ``default``, ``baseline``, or names joined by commas.

Names of ``tinrudder.node.decisions.registry`` go into every query rule; those of node-wide policies
replace the default in the node's wiring.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from unittest import mock

from tinrudder.node import node
from tinrudder.node.decisions.load.admission import AdmitAll
from tinrudder.node.decisions.load.backend_limit import FixedLimit
from tinrudder.node.decisions.load.call_queue import FirstInFirstOutQueue
from tinrudder.node.decisions.registry import BASELINE, names_by_role
from tinrudder_lab.topology import Topology, set_policies

DEFAULT_POLICY = "default"
BASELINE_POLICY = "baseline"
NODE_WIDE: Mapping[str, tuple[str, Callable[..., object]]] = {
    "fifo": ("StartTimeFairQueue", lambda *_: FirstInFirstOutQueue()),
    "fixed-limit": ("AdaptiveLimit", FixedLimit),
    "admit-all": ("ExpectedWaitAdmission", lambda *_: AdmitAll()),
}


class UnknownPolicyError(Exception):
    """No role has a policy of this name, or several have."""


@contextmanager
def use_policy(policy: str, topology: Topology) -> Iterator[None]:
    """Wire policies in for one run.

    :raises UnknownPolicyError: naming the policy.
    """
    names = _names_of(policy)
    by_role = {role: name for role, name in names if role is not None}
    if by_role:
        set_policies(topology.deployment, by_role)
    with ExitStack() as stack:
        for role, name in names:
            if role is None:
                attribute, replacement = NODE_WIDE[name]
                stack.enter_context(mock.patch.object(node, attribute, replacement))
        yield


def _names_of(policy: str) -> list[tuple[str | None, str]]:
    """Return role and name of each part; node-wide policies have no role."""
    if policy == DEFAULT_POLICY:
        return []
    if policy == BASELINE_POLICY:
        roles: list[tuple[str | None, str]] = [(r.value, name) for r, name in BASELINE.items()]
        return roles + [(None, name) for name in NODE_WIDE]
    return [_role_of(part) for part in policy.split(",")]


def _role_of(part: str) -> tuple[str | None, str]:
    """Return the role of ``name`` or ``role=name``."""
    if part in NODE_WIDE:
        return None, part
    role, _, name = part.rpartition("=")
    roles = [r for r, known in sorted(names_by_role().items()) if name in known]
    fitting = [r for r in roles if role in ("", r)]
    if len(fitting) != 1:
        raise UnknownPolicyError(f"policy {part!r}: fits {fitting or 'no role'}")
    return fitting[0], name
