"""Charts of one scenario under several policies, on the same seed and trace."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot

from tinrudder_lab.measures import extra_load, latencies_ms, tenant_figures
from tinrudder_lab.sim.world import World

FIGURE_INCHES = (12, 8)


def plot_worlds(title: str, worlds: Mapping[str, World], path: Path) -> None:
    """Write latency, coverage by owner, extra load and tenants' shares as one PNG."""
    mpl.use("Agg")
    figure, axes = pyplot.subplots(2, 2, figsize=FIGURE_INCHES)
    _plot_latency(axes[0][0], worlds)
    _plot_bars(axes[0][1], "coverage by owner", {n: _owners(w) for n, w in worlds.items()})
    loads = {
        name: {"extra load": extra_load(world.history, world.sent_calls)}
        for name, world in worlds.items()
    }
    _plot_bars(axes[1][0], "extra load", loads)
    shares = {
        name: {tenant: row.share for tenant, row in tenant_figures(world, None).items()}
        for name, world in worlds.items()
    }
    _plot_bars(axes[1][1], "share of answered queries", shares)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_latency(axis: pyplot.Axes, worlds: Mapping[str, World]) -> None:
    """Draw the share of queries slower than a time, both scales logarithmic."""
    for name, world in worlds.items():
        values = latencies_ms(world.history)
        slower = [1.0 - rank / len(values) for rank in range(len(values))]
        axis.plot(values, slower, label=name)
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("latency, ms")
    axis.set_ylabel("share of queries slower")
    axis.legend()


def _plot_bars(axis: pyplot.Axes, title: str, groups: Mapping[str, Mapping[str, float]]) -> None:
    """Draw one group of bars a policy."""
    width = 0.8 / max(1, len(groups))
    names = sorted({name for values in groups.values() for name in values})
    for number, (group, values) in enumerate(groups.items()):
        places = [place + number * width for place in range(len(names))]
        axis.bar(places, [values.get(name, 0.0) for name in names], width, label=group)
    axis.set_xticks(range(len(names)), names, rotation=30, ha="right")
    axis.set_title(title)


def _owners(world: World) -> dict[str, float]:
    """Return the included share of each owner's shards."""
    owners = world.shard_owners()
    included: dict[str, int] = {}
    needed: dict[str, int] = {}
    for ended in world.history.ended.values():
        index = world.history.sent[ended.query].index
        for shard in ended.included + ended.missing:
            owner = owners.get((index, shard), "")
            needed[owner] = needed.get(owner, 0) + 1
        for shard in ended.included:
            owner = owners.get((index, shard), "")
            included[owner] = included.get(owner, 0) + 1
    return {owner: included.get(owner, 0) / count for owner, count in needed.items()}
