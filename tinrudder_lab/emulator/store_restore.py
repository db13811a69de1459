"""A store that is away for a moment and is back from an older copy, and what is written again.

Owns the course of one such drill; relies on the site for who writes what, and on the ledger for
nothing: what gateways make of it shows at clients and back ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tinrudder.platform.documents import BACKENDS_PREFIX
from tinrudder_lab.emulator.site import LAPSE_S, EmulatedSite
from tinrudder_lab.emulator.store import StoreMode


@dataclass(frozen=True, slots=True)
class StoreRestore:
    """How one drill goes.

    What the operator writes while the store is away stands in it when it is back.

    :param age_s: how old the copy is when the store goes away.
    :param away_s: for how long the store answers nobody.
    :param operator_after_s: how long after its return the operator has written again all that the
        copy lacks; ``None``: never.
    :param backends_after_s: the same for each living back end, at most.
    """

    age_s: float
    away_s: float = 2.7
    operator_after_s: float | None = 0.0
    backends_after_s: float | None = 1.2


async def restore_store(site: EmulatedSite, drill: StoreRestore) -> None:
    """Let the store go away and come back; return once all is written again that ever will be."""
    lost = site.store.values()
    site.store.set_mode(StoreMode.RESETTING)
    site.store.restore(drill.age_s)
    copied = _operators_values(site.store.values())
    await asyncio.sleep(drill.away_s)
    site.store.set_mode(StoreMode.SERVING)
    await asyncio.gather(
        _lapse(site),
        _write_again(site, _operators_values(lost), copied, drill),
        _record_again(site, lost, drill),
    )


async def _write_again(
    site: EmulatedSite, lost: dict[str, bytes], copied: dict[str, bytes], drill: StoreRestore
) -> None:
    """Let the operator write what the copy lacks, unless something newer stands there."""
    if drill.operator_after_s is None:
        return
    await asyncio.sleep(drill.operator_after_s)
    for key in sorted({*lost, *copied}):
        is_copied = site.store.value(key) == copied.get(key)
        if not is_copied or lost.get(key) == copied.get(key):
            continue
        if key in lost:
            site.store.put_bytes(key, lost[key])
        else:
            site.store.remove(key)


async def _record_again(site: EmulatedSite, lost: dict[str, bytes], drill: StoreRestore) -> None:
    """Let every back end that lives record itself, where the copy shows it otherwise or not."""
    if drill.backends_after_s is None:
        return
    moments = {one: site.random.uniform(0.0, drill.backends_after_s) for one in [*site.backends]}
    waited_s = 0.0
    for backend_id in sorted(moments, key=moments.__getitem__):
        await asyncio.sleep(moments[backend_id] - waited_s)
        waited_s = moments[backend_id]
        key = BACKENDS_PREFIX + backend_id
        if backend_id in site.backends and lost.get(key) != site.store.value(key):
            site.rewrite_entry(backend_id)


async def _lapse(site: EmulatedSite) -> None:
    """Let entries go whose back ends have ended: nobody writes them any more."""
    await asyncio.sleep(LAPSE_S)
    for key in site.store.values():
        backend_id = key.removeprefix(BACKENDS_PREFIX)
        if key != backend_id and backend_id not in site.backends:
            site.remove_entry(backend_id)


def _operators_values(values: dict[str, bytes]) -> dict[str, bytes]:
    """Return what the operator wrote."""
    return {key: value for key, value in values.items() if not key.startswith(BACKENDS_PREFIX)}
