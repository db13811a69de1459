"""A drill: the store fails, is restored from an older copy, and lost writes are repeated.

Owns the course of one drill; relies on the site for writing entries.  Its effect on gateways
shows at clients and back ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tinrudder.platform.documents import BACKENDS_PREFIX
from tinrudder_lab.emulator.site import ENTRY_EXPIRY_S, EmulatedSite
from tinrudder_lab.emulator.store import StoreMode


@dataclass(frozen=True, slots=True)
class StoreRestore:
    """Parameters of one drill.

    What the operator writes during the outage is kept by the restored store.

    :param age_s: age of the copy when the outage begins.
    :param outage_s: duration of the outage.
    :param operator_after_s: time from the end of the outage until the operator repeats all writes
        that the copy lacks; ``None``: never.
    :param backends_after_s: upper bound of the same time for each running back end; ``None``:
        never.
    """

    age_s: float
    outage_s: float = 2.7
    operator_after_s: float | None = 0.0
    backends_after_s: float | None = 1.2


async def restore_store(site: EmulatedSite, drill: StoreRestore) -> None:
    """Run one drill; return once every lost write that is to be repeated has been."""
    lost = site.store.values()
    site.store.set_mode(StoreMode.RESETTING)
    site.store.restore(drill.age_s)
    copied = _operator_values(site.store.values())
    await asyncio.sleep(drill.outage_s)
    site.store.set_mode(StoreMode.SERVING)
    await asyncio.gather(
        _expire_entries(site),
        _repeat_operator_writes(site, _operator_values(lost), copied, drill),
        _repeat_backend_writes(site, lost, drill),
    )


async def _repeat_operator_writes(
    site: EmulatedSite, lost: dict[str, bytes], copied: dict[str, bytes], drill: StoreRestore
) -> None:
    """Repeat the operator's writes that the copy lacks, except where a newer value was written."""
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


async def _repeat_backend_writes(
    site: EmulatedSite, lost: dict[str, bytes], drill: StoreRestore
) -> None:
    """Rewrite the entry of every running back end whose entry the copy lacks or shows otherwise."""
    if drill.backends_after_s is None:
        return
    delays = {one: site.random.uniform(0.0, drill.backends_after_s) for one in [*site.backends]}
    elapsed_s = 0.0
    for backend_id in sorted(delays, key=delays.__getitem__):
        await asyncio.sleep(delays[backend_id] - elapsed_s)
        elapsed_s = delays[backend_id]
        key = BACKENDS_PREFIX + backend_id
        if backend_id in site.backends and lost.get(key) != site.store.value(key):
            site.rewrite_entry(backend_id)


async def _expire_entries(site: EmulatedSite) -> None:
    """Remove entries of back ends that have ended, since they send no heartbeats any more."""
    await asyncio.sleep(ENTRY_EXPIRY_S)
    for key in site.store.values():
        backend_id = key.removeprefix(BACKENDS_PREFIX)
        if key != backend_id and backend_id not in site.backends:
            site.remove_entry(backend_id)


def _operator_values(values: dict[str, bytes]) -> dict[str, bytes]:
    """Return the keys and values that the operator writes: all but back ends' entries."""
    return {key: value for key, value in values.items() if not key.startswith(BACKENDS_PREFIX)}
