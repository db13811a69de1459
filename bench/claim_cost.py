"""Cost of one claim: messages, bytes, processor time and memory.

All nodes run in this process and messages are passed by direct calls, so the figures cover claims
alone, including the codec but not the transport::

    python -m bench.claim_cost --members 14 --members 730

Prints one JSON line for each number of members.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
import tracemalloc
from dataclasses import dataclass, field

import msgspec

from tinrudder.cluster.claims.claim_proposer import DispatchWindow
from tinrudder.cluster.claims.claim_voter import ClaimVoter
from tinrudder.cluster.claims.claims import (
    AnswerQuestion,
    AnswerStatus,
    ClaimLimits,
    ProposerId,
    StoredAnswer,
    VoteRequest,
    make_claim_key,
)
from tinrudder.cluster.claims.claims_service import ClaimNode, ClaimsService
from tinrudder.cluster.claims.electorate import Voter, VoterList, VoterRanking
from tinrudder.cluster.claims.electorate_history import ListedVoter
from tinrudder.peers import DatagramHandler, PeerAddress, RequestHandler

REGION = "region"
ZONES = 4
NODE_UPTIME_S = 1000.0
"""Seconds since the nodes' start; voters abstain on claims whose window began earlier."""
WINDOW_S = 60.0
CLAIMS = 2000
STORED_VOTES = 20_000
"""Votes stored to measure the memory of one."""


class ClaimCost(msgspec.Struct, frozen=True):
    """Costs at one number of members; times are microseconds of processor time.

    All times are means, since medians would hide rare work.

    :param claim_us: one claim, at its proposer and all its voters together.
    :param voter_us: one vote, including decoding and encoding.
    :param electorate_us: one selection of a key's voters among the members.
    :param held_bytes: memory of one stored vote.
    """

    members: int
    voters: int
    messages_per_claim: float
    bytes_per_claim: float
    claim_us: float
    voter_us: float
    electorate_us: float
    held_bytes: float


@dataclass
class DirectNetwork:
    """Delivers requests without delay, and counts messages and bytes."""

    handlers: dict[PeerAddress, RequestHandler] = field(default_factory=dict)
    messages: int = 0
    bytes: int = 0
    voter_s: float = 0.0


class DirectTransport:
    """Peer transport of one node."""

    def __init__(self, network: DirectNetwork, address: PeerAddress) -> None:
        """Create the transport of the node at ``address``."""
        self._network = network
        self._address = address

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Register the request handler."""
        self._network.handlers[self._address] = on_request

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Count a datagram and drop it."""
        self._network.messages += 1
        self._network.bytes += len(payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Call the destination's handler and return its answer."""
        network = self._network
        started = time.process_time()
        answer = await network.handlers[destination](self._address, payload)
        network.voter_s += time.process_time() - started
        network.messages += 2
        network.bytes += len(payload) + len(answer)
        return answer

    async def close(self) -> None:
        """Do nothing."""


async def _no_answer(_: AnswerQuestion) -> StoredAnswer:
    return StoredAnswer(AnswerStatus.UNKNOWN)


def _voters(members: int) -> list[Voter]:
    return [
        Voter(f"node-{number:04}", f"zone-{number % ZONES}", PeerAddress("10.0.0.1", number + 1))
        for number in range(members)
    ]


async def measure(members: int) -> ClaimCost:
    """Claim ``CLAIMS`` keys, with the nodes as proposers in turn."""
    network = DirectNetwork()
    loop = asyncio.get_running_loop()
    voters = _voters(members)
    started_at = time.time() - NODE_UPTIME_S
    clock = [started_at]
    services = []
    for number, voter in enumerate(voters):
        transport = DirectTransport(network, voter.address)
        service = ClaimsService(
            loop,
            lambda: clock[0],
            random.Random(number),
            transport,
            ClaimNode(voter, REGION),
            ClaimLimits(window_s=WINDOW_S),
            _no_answer,
        )
        service.start()
        service.learn_list(1, {REGION: [ListedVoter(one) for one in voters]})
        service.stop()
        services.append(service)
    clock[0] = time.time()
    won = 0
    before = time.process_time()
    for number in range(CLAIMS):
        key = make_claim_key("tenant", str(number))
        window = DispatchWindow(loop.time() + 1.0, clock[0] + 1.0)
        service = services[number % members]
        claim = await service.claim(REGION, key, clock[0] + WINDOW_S, window, 1.0)
        won += claim.won
    spent_s = time.process_time() - before
    if won != CLAIMS:
        raise RuntimeError(f"only {won} of {CLAIMS} claims were won")
    requests = network.messages / 2
    return ClaimCost(
        members,
        VoterList(1, voters).size,
        round(network.messages / CLAIMS, 2),
        round(network.bytes / CLAIMS, 1),
        round(spent_s / CLAIMS * 1e6, 1),
        round(network.voter_s / requests * 1e6, 1),
        _electorate_us(voters),
        _held_bytes(),
    )


def _electorate_us(voters: list[Voter]) -> float:
    """Return the microseconds to select one key's voters."""
    voter_list, ranking = VoterList(1, voters), VoterRanking(voters)
    keys = [make_claim_key("tenant", str(number)).digest for number in range(CLAIMS)]
    before = time.process_time()
    for key in keys:
        voter_list.electorate(ranking.ranked(key))
    return round((time.process_time() - before) / CLAIMS * 1e6, 1)


def _held_bytes() -> float:
    """Return the bytes of memory of one stored vote."""
    tracemalloc.start()
    voter = ClaimVoter(ClaimLimits(window_s=WINDOW_S), 0.0)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(STORED_VOTES):
        address = PeerAddress(f"10.0.0.{number % 250}", 8081)
        proposer = ProposerId(f"node-{number % 250:04}", 1, number, address)
        key = make_claim_key("tenant", str(number))
        voter.vote(VoteRequest(key, proposer, 1000.0 + WINDOW_S, ()), (), 1000.0)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return round(held / STORED_VOTES, 1)


def main() -> None:
    """Measure each requested number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, action="append")
    for members in parser.parse_args().members or [6, 14, 730]:
        print(msgspec.json.encode(asyncio.run(measure(members))).decode(), flush=True)


if __name__ == "__main__":
    main()
