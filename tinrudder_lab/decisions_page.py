"""Generates docs/DECISIONS.md: the gateway's rules in the order in which they apply to a request.

Owns the order of the rules and the text between them; questions, inputs and constants come from
the rules' docstrings, so that nothing is documented twice.

    python -m tinrudder_lab.decisions_page
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

ROOT = Path(__file__).parent.parent
RULES = ROOT / "tinrudder" / "gateway" / "decisions"
PAGE = ROOT / "docs" / "DECISIONS.md"
LABELS = (
    "Inputs",
    "Answer",
    "Owns",
    "Shown by",
    "When an input is missing or old",
)
"""Paragraphs that every rule's docstring has, in this order."""


class Constant(Struct, frozen=True):
    """A named constant of a rule: its source expression and its docstring."""

    name: str
    value: str
    reason: str


class Rule(Struct, frozen=True):
    """One rule module.

    :param paragraphs: paragraphs of the docstring after the question.
    """

    path: str
    question: str
    paragraphs: tuple[str, ...]
    constants: tuple[Constant, ...]


class Chapter(Struct, frozen=True):
    """Rules that apply at the same stage of a request.

    :param words: introduction: the modules that apply the rules, and in which order.
    """

    title: str
    words: str
    rules: tuple[str, ...]


class Refusal(Struct, frozen=True):
    """A log message of refused requests and the rule that decided.

    :param detail: constant part of the log field ``detail``.
    :param rule: path of the rule; empty if no rule of the package decides.
    """

    detail: str
    rule: str
    meaning: str


INTRODUCTION = """\
# Decisions of a gateway

The decision rules, in the order in which they apply to a request.  Each rule is one pure module of
`tinrudder/gateway/decisions`, without clock, network or configuration of its own; its docstring
also gives the reason.  `python -m tinrudder_lab.decisions_page` generates this page from the rules'
docstrings, and a test fails when the page is out of date.

Log lines are JSON with the name of the event in the field `event`.  A refused request logs one line
`request` with outcome `NotRun` and a `detail` that says what refused it.
"""

REFUSALS = (
    Refusal(
        "no configuration is known yet",
        "",
        "the process has just started, and neither the store nor a peer has answered yet",
    ),
    Refusal(
        "no word from store or peers lately",
        "placement/route_table",
        "this gateway does not know the route or key, and other gateways may enforce a newer "
        "configuration",
    ),
    Refusal(
        "quota: no home of the tenant answers",
        "admission/token_buckets",
        "neither the owner of the tenant's token bucket nor the gateways asked after it answer",
    ),
    Refusal(
        " a second and ", "admission/token_buckets", "outcome `OverQuota`: the limit is used up"
    ),
    Refusal(
        "no back end is in reach", "fleet/zone_paths", "all back ends are in unreachable zones"
    ),
    Refusal(
        "of the shards are in reach",
        "fleet/zone_paths",
        "too few shards are reachable from this gateway",
    ),
    Refusal("of what may be held", "admission/memory_bound", "the memory account is nearly full"),
    Refusal(
        "poison: back ends crashed under this request",
        "admission/poison_requests",
        "the request was barred before it started",
    ),
    Refusal(
        "back ends crashed under this request: it is not sent again",
        "admission/poison_requests",
        "the request was barred while it ran, or its canary was lost",
    ),
    Refusal(
        "overload: wait ",
        "admission/shared_service",
        "the queues of one service's back ends: the smallest of the shares by expected wait "
        "(load_forecast), by free queue places and by tenant (tenant_shares)",
    ),
    Refusal("overload: place ", "admission/scatter_queue", "the queue of an index at one gateway"),
    Refusal(
        "every back end left is cold and has had this gateway's part of calls",
        "placement/cold_start_rate",
        "all remaining back ends have just started",
    ),
    Refusal("every back end left is in an evacuated zone", "", "an operator evacuates zones"),
    Refusal(
        "every back end left is in a zone out of reach",
        "fleet/zone_paths",
        "all remaining back ends are in unreachable zones",
    ),
    Refusal("no back end is known", "", "the store has no entry for the service"),
)

CHAPTERS = (
    Chapter(
        "May it be served here?",
        "`gateway/requests/refusals.py` checks in this order: a configuration is known; "
        "the request has a route; its key is valid (`gateway/requests/authentication.py`; "
        "`gateway/store/staleness_bound.py` bounds the staleness of the known keys); "
        "the tenant's quota; enough back ends are reachable (`gateway/peers/reachability.py`); "
        "memory; no back ends crashed under the request; and last the queues. The first check "
        "that fails refuses the request.",
        (
            "placement/route_table",
            "admission/token_buckets",
            "fleet/zone_paths",
            "admission/memory_bound",
            "admission/connection_bound",
            "admission/crash_evidence",
            "admission/poison_requests",
        ),
    ),
    Chapter(
        "Would it be answered in time?",
        "A request for one back end is admitted or refused on arrival by "
        "`gateway/requests/service_admission.py`. A scatter enters the queue of its index, "
        "`gateway/scatters/scatter_admission.py`, at the gateway that runs it.",
        (
            "admission/load_forecast",
            "admission/shared_service",
            "admission/tenant_shares",
            "admission/scatter_concurrency",
            "admission/tenant_turns",
            "admission/scatter_queue",
        ),
    ),
    Chapter(
        "Where does it run?",
        "On this gateway, on a coordinator (`gateway/scatters/delegated_scatter.py`), or in part "
        "on gateways near the replicas (`gateway/scatters/scatter_planner.py`).",
        ("placement/coordinator_choice", "placement/shard_placement", "attempts/peer_round_trip"),
    ),
    Chapter(
        "Which back end?",
        "`gateway/backends/backend_directory.py` selects the back ends that may receive a call; "
        "`gateway/runs/replica_choice.py` chooses the cheapest of them by the rules below.",
        (
            "placement/weighted_rotation",
            "placement/cold_start_rate",
            "placement/backend_observations",
            "placement/zone_preference",
        ),
    ),
    Chapter(
        "When a second call, and when a retry?",
        "`gateway/runs/shard_calls.py` sends the calls for each shard. Before any call "
        "`gateway/runs/run_guard.py` decides whether it may be sent after back ends were lost."
        " A retry has no minimum delay: it is sent when a call has failed and either provably did"
        " not run or may be repeated, with at most `MAX_SENDS` sends per shard.",
        ("attempts/hedge_gain", "attempts/hedge_delay", "attempts/fleet_retry_budget"),
    ),
    Chapter(
        "When does the answer leave, and when is it given up?",
        "`gateway/runs/request_run.py` decides after each partial answer and at each "
        "scheduled time.",
        ("attempts/answer_time",),
    ),
    Chapter(
        "What does a refusal say?",
        "Outcome `NotRun` means that nothing has run. Its `detail` goes to the log, with the "
        "figures that decided; the caller gets the time after which to retry. That time is a "
        "constant of the rule that refused, or for load:",
        ("admission/retry_after",),
    ),
    Chapter(
        "What do gateways decide for the fleet?",
        "Apart from requests: whether this gateway is ready or isolated "
        "(`gateway/peers/zone_monitor.py`, by the zone paths above), which gateways read the store "
        "(`gateway/store/store_readers.py`) and which coordinate, both by the choice of "
        "coordinators above, and which gateway owns a tenant's token bucket "
        "(`gateway/quotas/bucket_owner_choice.py`).",
        (
            "fleet/fleet_size",
            "admission/stop_backlog",
            "fleet/process_pause",
            "fleet/peer_load_reports",
            "fleet/send_budget",
        ),
    ),
)


def rule_paths() -> list[str]:
    """Return the paths of the rule modules, in the order of the page."""
    return [path for chapter in CHAPTERS for path in chapter.rules]


def read_rule(path: str) -> Rule:
    """Read a rule's docstring and constants from its source.

    :param path: below the package of the rules, without suffix.
    """
    module = ast.parse((RULES / f"{path}.py").read_text())
    question, *paragraphs = (ast.get_docstring(module) or "").split("\n\n")
    joined = tuple(" ".join(paragraph.split()) for paragraph in paragraphs)
    return Rule(path, question, joined, tuple(_constants(module)))


def _constants(module: ast.Module) -> Iterator[Constant]:
    """Yield the constants of a module that have a docstring."""
    for node, after in zip(module.body, module.body[1:], strict=False):
        if not isinstance(node, ast.Assign) or not isinstance(node.targets[0], ast.Name):
            continue
        name = node.targets[0].id
        if not name.isupper() or not isinstance(after, ast.Expr):
            continue
        if isinstance(after.value, ast.Constant) and isinstance(after.value.value, str):
            reason = " ".join(after.value.value.split())
            yield Constant(name, ast.unparse(node.value), reason)


def render() -> str:
    """Return the text of the page."""
    lines = [INTRODUCTION]
    for number, chapter in enumerate(CHAPTERS, 1):
        lines.append(f"{number}. **{chapter.title}**")
        for path in chapter.rules:
            question = read_rule(path).question
            lines.append(f"   - [{question}](#{_anchor(question)})")
    lines += ["", "## From a log line to its rule", ""]
    lines += ["| `detail` contains | what it means | decided by |", "|---|---|---|"]
    for refusal in REFUSALS:
        rule = (
            f"`gateway/decisions/{refusal.rule}.py`" if refusal.rule else "no rule of this package"
        )
        lines.append(f"| `{refusal.detail.strip()}` | {refusal.meaning} | {rule} |")
    for number, chapter in enumerate(CHAPTERS, 1):
        lines += ["", f"## {number}. {chapter.title}", "", chapter.words]
        for path in chapter.rules:
            lines += _render_rule(read_rule(path))
    return "\n".join(lines) + "\n"


def _anchor(heading: str) -> str:
    """Return the Markdown anchor of a heading."""
    kept = "".join(one for one in heading.lower() if one.isalnum() or one in " -")
    return kept.replace(" ", "-")


def _render_rule(rule: Rule) -> Iterator[str]:
    """Yield the Markdown lines of one rule."""
    yield from ("", f"### {rule.question}", "", f"`gateway/decisions/{rule.path}.py`", "")
    for paragraph in rule.paragraphs:
        label, _, text = paragraph.partition(": ")
        if label in LABELS:
            yield f"- *{label}:* {_as_markdown(text)}"
    for constant in rule.constants:
        yield f"- `{constant.name}` = {constant.value}: {_as_markdown(constant.reason)}"


def _as_markdown(text: str) -> str:
    """Convert docstring markup to Markdown."""
    for role in (":data:", ":class:", ":meth:", ":mod:"):
        text = text.replace(role, "")
    return text.replace("``", "`")


def main() -> None:
    """Write the page."""
    PAGE.write_text(render())


if __name__ == "__main__":
    main()
