"""Copies of the product in which one mechanism of the gateway is switched off.

The bench plays a checkout, so a mechanism is taken out of a copy by substituting a few words of its
source; the product itself has no flags for this.  A substitution whose words are not found exactly
once stops the command: the source has moved on.

``python -m tinrudder_lab.ablation`` lists the mechanisms; with a name and an empty folder it makes
the copy there.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
ROUTING = "tinrudder/routing/"
GATEWAY = "tinrudder/gateway/"
LEFT_OUT = ("journal/", "docs/", "tests/")
EXIT_USAGE = 2


class AblationError(Exception):
    """A copy cannot be made; the text says why."""


@dataclass(frozen=True, slots=True)
class Substitution:
    """Words of one file and what takes their place."""

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Ablation:
    """One mechanism and how it is taken out."""

    name: str
    what: str
    substitutions: tuple[Substitution, ...]


def _one(name: str, what: str, path: str, old: str, new: str) -> Ablation:
    return Ablation(name, what, (Substitution(path, old, new),))


OBSERVATIONS = ROUTING + "backend_observations.py"
FORECAST = ROUTING + "load_forecast.py"
ABLATIONS = (
    _one(
        "hedge",
        "no call is sent beside one that is overdue",
        GATEWAY + "shard_calls.py",
        "if not self._route.repeatable or self.sends >= MAX_SENDS:",
        "if True:",
    ),
    _one(
        "reported-queues",
        "what back ends say of their queues does not count in the choice",
        OBSERVATIONS,
        "queued = max(queued, self._services_ahead(now))",
        "queued = max(queued, 0.0)",
    ),
    _one(
        "stalled",
        "a call that runs for long says nothing of its back end",
        OBSERVATIONS,
        "STALLED_PENALTY = 6.0",
        "STALLED_PENALTY = 0.0",
    ),
    _one(
        "suspect",
        "a failed call says nothing of its back end",
        OBSERVATIONS,
        "SUSPECT_PENALTY = 20.0",
        "SUSPECT_PENALTY = 0.0",
    ),
    _one(
        "cold",
        "a back end that has just started is chosen as any other",
        OBSERVATIONS,
        "COLD_FACTOR = 1.6",
        "COLD_FACTOR = 1.0",
    ),
    _one(
        "zone",
        "replicas of the own zone are not preferred",
        GATEWAY + "forwarding.py",
        "return backend.observations.cost(now) + (0.0 if local else advantage)",
        "return backend.observations.cost(now) + (0.0 if local else 0.0 * advantage)",
    ),
    _one(
        "zone-room",
        "the preference of the own zone does not grow with the room before the objective",
        ROUTING + "zone_preference.py",
        "return min(LARGEST_ADVANTAGE, max(LEAST_ADVANTAGE, room_s / usual_s))",
        "return LEAST_ADVANTAGE",
    ),
    _one(
        "zone-yield",
        "the own zone does not yield to replicas that have been slow",
        ROUTING + "zone_preference.py",
        "return expected_relative_latency > SLOW",
        "return False",
    ),
    _one(
        "delegation",
        "shards without a local replica are fetched part by part",
        ROUTING + "scatter_place.py",
        "return fetched >= LEAST_GAIN * handed_over",
        "return False",
    ),
    _one(
        "admission",
        "nothing is refused for queues",
        FORECAST,
        "if wait_s <= HARMLESS_WAIT * usual_s:",
        "if True:",
    ),
    _one(
        "returning",
        "a caller that comes back is judged as any other",
        FORECAST,
        "RETURNING_FACTOR = 0.85",
        "RETURNING_FACTOR = 1.0",
    ),
    _one(
        "priority",
        "later priorities are not refused sooner",
        FORECAST,
        "LATER_PRIORITY_FACTOR = 1.1",
        "LATER_PRIORITY_FACTOR = 1.0",
    ),
    _one(
        "absorb",
        "calls that nobody waits for any more are closed at once",
        GATEWAY + "request_run.py",
        "ABSORB_S = 0.3",
        "ABSORB_S = 0.0",
    ),
    _one(
        "path-time",
        "the time between gateways is a constant",
        ROUTING + "path_time.py",
        "return self.mean_s + DEVIATIONS * self.deviation_s",
        "return ASSUMED_S",
    ),
    _one(
        "begin-at-once",
        "every gateway begins what it is handed only when that is confirmed",
        GATEWAY + "hand_over.py",
        "return all(directory.fits_attempts(shard, route.attempts) for shard in shards)",
        "return False",
    ),
    _one(
        "ask-again",
        "shards that other gateways ended without are lost",
        GATEWAY + "request_run.py",
        "if not self._scatter or now >= self._moments.deadline_at:",
        "if True:",
    ),
    _one(
        "taught-members",
        "a start learns of other gateways by digests alone",
        GATEWAY + "peer_exchange.py",
        "settling = self._peers.is_settling(self._loop.time())",
        "settling = False",
    ),
    _one(
        "slowdown",
        "what back ends report of the moment is not expected of the next call",
        OBSERVATIONS,
        "if age >= SLOWDOWN_LIFETIME_S or not self.typical_slowdown:",
        "if True:",
    ),
    _one(
        "start-share",
        "a start repeats nothing of the extra for a window",
        ROUTING + "repeat_budget.py",
        "START_SHARE = 1.0 - SAFETY",
        "START_SHARE = 0.0",
    ),
    _one(
        "strong-first",
        "weak gateways are asked and handed shards like strong ones",
        ROUTING + "coordinator_choice.py",
        "STRONG_SHARE = 0.5",
        "STRONG_SHARE = 0.0",
    ),
    _one(
        "cold-rate",
        "cold back ends get as many calls as others",
        GATEWAY + "backend_directory.py",
        "return backend.cold_pace.may_send(now, part)",
        "return True",
    ),
    _one(
        "coordinators",
        "every gateway calls the back ends itself, however many there are",
        ROUTING + "coordinator_choice.py",
        "if demand.connections / nodes >= LEAST_CONNECTIONS_A_SHARD:",
        "if True:",
    ),
    _one(
        "store-readers",
        "every gateway follows the store",
        GATEWAY + "store_readers.py",
        "READERS = 8",
        "READERS = 800",
    ),
    _one(
        "zone-digests",
        "digests go to all zones alike",
        GATEWAY + "peer_exchange.py",
        "zone_only=sent > FIRST_DIGESTS and sent % 2 == 1",
        "zone_only=False",
    ),
    _one(
        "knowledge-bound",
        "keyed requests are served however old knowledge is",
        GATEWAY + "knowledge_keeper.py",
        "return self._bound_s is not None and self._knowledge.age_s > self._bound_s",
        "return False",
    ),
    _one(
        "quotas",
        "tenants have no limits",
        GATEWAY + "quotas.py",
        "if tenant.rate_per_s <= 0.0:",
        "if True:",
    ),
    _one(
        "quota-held",
        "a tenant's next home does not learn what the last one held",
        GATEWAY + "quotas.py",
        "if told is not None:",
        "if False:",
    ),
    _one(
        "quota-asks-first",
        "entries ask a tenant's home before every request",
        GATEWAY + "quotas.py",
        "elif self.is_pressed(tenant.name) or self._is_ahead(tenant):",
        "elif True:",
    ),
    _one(
        "tenant-shares",
        "under overload all tenants' single requests are refused alike",
        GATEWAY + "service_admission.py",
        "share = self._tenants.share_of(tenant, share, now)",
        "share = min(share, 1.0)",
    ),
    _one(
        "scatters-wait",
        "scatters start at once, whatever runs",
        ROUTING + "scatter_room.py",
        "return held <= 0.0 or held + LEAST_FREE <= self.limit",
        "return True",
    ),
    _one(
        "zone-paths",
        "no zone is ever taken for out of reach",
        ROUTING + "zone_paths.py",
        "if unanswered_s >= CLOSED_AFTER_S and path.rounds >= LEAST_ROUNDS:",
        "if False:",
    ),
    _one(
        "leave-when-cut-off",
        "a gateway on the smaller side of a cut stays ready",
        GATEWAY + "zone_watch.py",
        "return bool(self.paths.lost) and self.heard_share < LEAST_HEARD_SHARE",
        "return False",
    ),
    _one(
        "refuse-out-of-reach",
        "scatters that cannot have enough shards are run all the same",
        GATEWAY + "reach.py",
        "if share >= route.minimum_share and share > 0.0:",
        "if True:",
    ),
    _one(
        "trusted-connections",
        "what may not be repeated goes over any open connection",
        GATEWAY + "upstream_pool.py",
        "self._take_idle() if call.repeatable else self._take_trusted()",
        "self._take_idle()",
    ),
    _one(
        "short-digests",
        "digests to other zones name as many members as those within",
        GATEWAY + "peer_list.py",
        "most = min(most, TOLD_PEERS_ELSEWHERE)",
        "most = max(most, TOLD_PEERS_ELSEWHERE)",
    ),
)
BY_NAME = {ablation.name: ablation for ablation in ABLATIONS}


def substitute(source: str, substitution: Substitution) -> str:
    """Return a file's text with the words replaced.

    :raises AblationError: they do not stand there exactly once.
    """
    found = source.count(substitution.old)
    if found != 1:
        raise AblationError(f"{substitution.path}: {substitution.old!r} stands there {found} times")
    return source.replace(substitution.old, substitution.new)


def make_copy(ablation: Ablation, folder: Path) -> None:
    """Copy the checkout's sources, without the mechanism, and let git know them.

    :raises AblationError: the folder is in use, or the source has moved on.
    """
    if folder.exists() and any(folder.iterdir()):
        raise AblationError(f"{folder}: not empty")
    listed = subprocess.run(["git", "ls-files"], cwd=ROOT, capture_output=True, text=True)
    for name in listed.stdout.splitlines():
        if name.startswith(LEFT_OUT):
            continue
        target = folder / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / name, target)
    (folder / "journal").mkdir()
    for substitution in ablation.substitutions:
        path = folder / substitution.path
        path.write_text(substitute(path.read_text(), substitution))
    for command in (("init", "-q"), ("add", "-A")):
        subprocess.run(["git", *command], cwd=folder, check=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="tinrudder_lab.ablation", description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(BY_NAME))
    parser.add_argument("folder", nargs="?", type=Path)
    parsed = parser.parse_args(arguments)
    if parsed.name is None:
        for ablation in ABLATIONS:
            print(f"{ablation.name:16} {ablation.what}")
        return 0
    if parsed.folder is None:
        parser.error("folder: where the copy goes")
    try:
        make_copy(BY_NAME[parsed.name], parsed.folder)
    except AblationError as error:
        print(f"ablation: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


if __name__ == "__main__":
    sys.exit(main())
