"""Operations with real claims in virtual time: each key runs at most once, with a true outcome.

A key could run twice after split votes, a network partition, a restarted voter, a paused process or
a retry of a call that may have been sent.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from starlette.applications import Starlette

from tests.support.operation_cluster import WALL_START, OperationCluster, ledger_document
from tests.support.virtual_caller import FakeCaller, run_virtual
from tinrudder.node.api.operation_app import operation_route
from tinrudder.node.backends.messages import Broken, Draining, Shed
from tinrudder.node.outcomes import Complete, MayHaveRunReason, NotRun, NotRunReason
from tinrudder.node.resources.store import ConfigurationStore


def virtual(scenario):
    """Run a test coroutine in virtual time, with a started cluster as its argument."""

    async def run():
        await scenario(await OperationCluster().start())

    def test():
        run_virtual(run())

    test.__name__ = scenario.__name__
    return test


@virtual
async def test_duplicates_at_one_moment_and_later_get_the_answer_of_the_one_run(cluster):
    first, second = await asyncio.gather(cluster.nodes[0].operate(), cluster.nodes[1].operate())
    later = await cluster.nodes[4].operate()
    again = await cluster.nodes[0].operate()
    assert cluster.ledger.ran == {"o-1": 1}
    assert Complete in (type(first), type(second))
    assert later == again
    assert isinstance(later, Complete)


@virtual
async def test_duplicates_that_split_the_votes_still_get_one_run(cluster):
    cluster.cut({4})
    cluster.network.extra_delay_s = {frozenset((1, 4)): 0.01, frozenset((2, 3)): 0.01}
    first, second = await asyncio.gather(cluster.nodes[0].operate(), cluster.nodes[1].operate())
    assert first == second
    assert isinstance(first, Complete)
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_only_the_side_of_a_cut_with_a_majority_runs(cluster):
    cluster.cut({0, 1})
    minority = await cluster.nodes[0].operate()
    majority = await cluster.nodes[2].operate()
    uncertain = await cluster.nodes[1].operate(resubmission=True)
    assert isinstance(minority, NotRun) and minority.reason is NotRunReason.NO_QUORUM
    assert isinstance(majority, Complete)
    assert uncertain.reason is MayHaveRunReason.EARLIER_SUBMISSION
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_a_holder_behind_a_cut_means_that_the_request_may_have_run(cluster):
    assert isinstance(await cluster.nodes[0].operate(), Complete)
    cluster.cut({0})
    outcome = await cluster.nodes[1].operate()
    assert outcome.reason is MayHaveRunReason.ALREADY_CLAIMED
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_a_claim_is_not_honoured_after_a_sleep(cluster):
    paused = cluster.nodes[0]
    claim = paused.claims.claim

    async def claim_then_pause(*arguments):
        won = await claim(*arguments)
        assert won.won
        paused.clock.sleep(30.0)
        return won

    paused.claims.claim = claim_then_pause
    outcome = await paused.operate()
    assert isinstance(outcome, NotRun) and outcome.reason is NotRunReason.DEADLINE
    assert not cluster.ledger.ran
    await asyncio.sleep(0.1)
    assert isinstance(await cluster.nodes[1].operate(), Complete)
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_pause_while_connecting_prevents_sending(cluster):
    cluster.ledger.connect_s = 0.2
    running = asyncio.create_task(cluster.nodes[0].operate())
    await asyncio.sleep(0.1)
    cluster.nodes[0].clock.sleep(30.0)
    assert isinstance(await running, NotRun)
    assert not cluster.ledger.ran


@virtual
async def test_restarted_voters_do_not_vote_again(cluster):
    assert isinstance(await cluster.nodes[0].operate(), Complete)
    for node in cluster.nodes[1:]:
        node.claims.start()
    cluster.cut({0})
    outcome = await cluster.nodes[1].operate()
    assert outcome.reason is NotRunReason.NO_QUORUM
    assert cluster.ledger.ran == {"o-1": 1}
    fresh = await cluster.nodes[1].operate("o-2", valid_until=WALL_START + 161.2)
    assert fresh.reason is NotRunReason.INVALID_REQUEST
    await asyncio.sleep(2.0)
    fresh = await cluster.nodes[1].operate("o-2", valid_until=WALL_START + 162.0)
    assert isinstance(fresh, Complete)


@virtual
async def test_only_refusals_before_the_start_go_to_another_back_end(cluster):
    cluster.ledger.replies = [Shed(), Draining()]
    assert (await cluster.nodes[0].operate("o-1")).reason is NotRunReason.NO_BACKEND
    cluster.ledger.replies = [Shed()]
    assert isinstance(await cluster.nodes[1].operate("o-1"), Complete)
    cluster.ledger.replies = [Broken("lost")]
    for node in cluster.nodes:
        assert (await node.operate("o-2")).reason is MayHaveRunReason.NO_ANSWER
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_an_answer_after_the_deadline_is_kept_for_a_duplicate(cluster):
    cluster.ledger.service_s = 2.0
    late = await cluster.nodes[0].operate()
    assert late.reason is MayHaveRunReason.NO_ANSWER
    assert (await cluster.nodes[0].operate()).reason is MayHaveRunReason.ALREADY_CLAIMED
    assert isinstance(await cluster.nodes[2].operate(), Complete)
    assert cluster.ledger.ran == {"o-1": 1}


@virtual
async def test_a_key_belongs_to_one_request_of_one_tenant(cluster):
    assert isinstance(await cluster.nodes[0].operate(), Complete)
    for node in cluster.nodes[:2]:
        other = await node.operate(amount="8")
        assert other.reason is MayHaveRunReason.ALREADY_CLAIMED
        assert "another request" in other.detail
    assert isinstance(await cluster.nodes[1].operate(tenant="rival"), Complete)
    assert cluster.ledger.ran == {"o-1": 1, "rival-o-1": 1}
    unknown = await cluster.nodes[1].operate("o-3", rule="read")
    assert unknown.reason is NotRunReason.INVALID_REQUEST


def test_old_voters_are_asked_too_while_voter_lists_differ():
    async def run():
        cluster = OperationCluster()
        await cluster.start(listed=cluster.nodes[:3])
        cluster.learn(2, cluster.nodes[2:], only=cluster.nodes[2:])
        cluster.cut({0, 1})
        ahead = await cluster.nodes[4].operate()
        assert ahead.reason is NotRunReason.NO_QUORUM
        assert isinstance(await cluster.nodes[0].operate(), Complete)
        assert isinstance(await cluster.nodes[4].operate(), NotRun)
        cluster.network.cut.clear()
        assert isinstance(await cluster.nodes[4].operate(), Complete)
        assert isinstance(await cluster.nodes[1].operate("o-2"), Complete)
        assert cluster.ledger.ran == {"o-1": 1, "o-2": 1}

    run_virtual(run())


def test_superseded_voter_list_expires_without_any_operation():
    async def run():
        cluster = OperationCluster()
        await cluster.start(listed=cluster.nodes[:3])
        cluster.learn(2, cluster.nodes)
        await asyncio.sleep(59.0)
        cluster.cut({0, 1})
        early = await cluster.nodes[4].operate("o-0", valid_until=WALL_START + 200.0)
        cluster.network.cut.clear()
        await asyncio.sleep(150.0)
        sent_bytes = cluster.nodes[3].claims.counters.sent_bytes
        await asyncio.sleep(100.0)
        assert cluster.nodes[3].claims.counters.sent_bytes == sent_bytes
        cluster.cut({0, 1})
        late = await cluster.nodes[4].operate("o-1", valid_until=WALL_START + 460.0)
        assert early.reason is NotRunReason.NO_QUORUM
        assert isinstance(late, Complete)

    run_virtual(run())


def test_voter_lists_with_equal_revisions_are_distinguished():
    async def run():
        cluster = OperationCluster()
        cluster.learn(1, cluster.nodes[2:], only=cluster.nodes[4:])
        await cluster.start(listed=cluster.nodes[:3])
        cluster.cut({0, 1})
        assert isinstance(await cluster.nodes[4].operate(), NotRun)
        assert isinstance(await cluster.nodes[0].operate(), Complete)
        assert cluster.ledger.ran == {"o-1": 1}

    run_virtual(run())


class FaultInjector:
    """Submits a few keys through random nodes while injecting partitions, restarts and pauses."""

    def __init__(self, cluster, source):
        self.cluster = cluster
        self.source = source
        self.reported = {}

    async def submit(self, order):
        await asyncio.sleep(self.source.uniform(0.0, 3.0))
        node = self.source.choice(self.cluster.nodes)
        outcome = await node.operate(order)
        self.reported.setdefault(order, []).append(outcome)

    async def inject_faults(self):
        nodes = self.cluster.nodes
        for _ in range(25):
            await asyncio.sleep(self.source.uniform(0.0, 0.25))
            self.cluster.network.cut.clear()
            match self.source.randrange(3):
                case 0:
                    numbers = range(len(nodes))
                    self.cluster.cut(set(self.source.sample(numbers, self.source.randint(0, 4))))
                case 1:
                    self.source.choice(nodes).claims.start()
                case 2:
                    self.source.choice(nodes).clock.sleep(self.source.choice((0.5, 5.0)))

    def check(self):
        for order, outcomes in self.reported.items():
            runs = self.cluster.ledger.ran[order]
            assert runs <= 1
            if all(isinstance(outcome, NotRun) for outcome in outcomes):
                assert runs == 0
            if any(isinstance(outcome, Complete) for outcome in outcomes):
                assert runs == 1


@pytest.mark.parametrize("seed", range(12))
def test_random_cuts_restarts_and_sleeps_never_run_a_key_twice(seed):
    async def run():
        cluster = await OperationCluster(nodes=7, seed=seed).start()
        cluster.ledger.connect_s = 0.02
        fault_injector = FaultInjector(cluster, random.Random(seed))
        submissions = (fault_injector.submit(f"o-{number % 8}") for number in range(40))
        await asyncio.gather(fault_injector.inject_faults(), *submissions)
        fault_injector.check()

    run_virtual(run())


def test_callers_post_operations():
    async def post(app, **changes):
        body = {
            "index": "ledger",
            "rule": "post",
            "operation": "book",
            "key": "order-0001",
            "valid_until": WALL_START + 150.0,
            "match": {"order": "o-1"},
        }
        caller = FakeCaller("/v1/operations", parts=[msgspec.json.encode(body | changes)])
        return await caller.call(app)

    async def run():
        cluster = await OperationCluster().start()
        store = ConfigurationStore()
        store.merge_document(ledger_document(credential=True))
        node = cluster.nodes[0]
        route = operation_route(node.clock, node.runner, lambda: store.current)
        app = Starlette(routes=[route])
        first = await post(app)
        assert (first.status, first.json["outcome"]) == (200, "complete")
        assert (await post(app)).json["outcome"] == "complete"
        other = await post(app, match={"order": "o-2"})
        assert (other.status, other.json["reason"]) == (409, "already_claimed")
        assert (await post(app, valid_until=WALL_START, key="order-0002")).status == 400
        assert (await post(app, index="unheard-of", key="order-0003")).status == 404
        assert (await post(app, tenant="rival")).json["field"] == "tenant"
        assert (await post(app, key="short")).json["field"] == "key"
        assert cluster.ledger.ran == {"o-1": 1}

    run_virtual(run())
