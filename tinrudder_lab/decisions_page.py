"""Writes docs/DECISIONS.md, the gateway's rules in the order in which a request meets them.

Owns the order of the rules and the words between them; questions, inputs and constants come from
the docstrings of the rules themselves, so that nothing is told twice.

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
    """A named number of a rule, as written, and what its docstring says."""

    name: str
    value: str
    reason: str


class Rule(Struct, frozen=True):
    """One rule module.

    :param paragraphs: of its docstring after the question.
    """

    path: str
    question: str
    paragraphs: tuple[str, ...]
    constants: tuple[Constant, ...]


class Chapter(Struct, frozen=True):
    """Rules that a request meets together.

    :param words: what no rule says by itself: the order in the code, and what stands beside it.
    """

    title: str
    words: str
    rules: tuple[str, ...]


class Refusal(Struct, frozen=True):
    """What the log says of a request that was refused, and which rule decided it.

    :param detail: a part of the field ``detail`` that never changes.
    :param rule: its path; empty where no rule of the package decides.
    """

    detail: str
    rule: str
    meaning: str


INTRODUCTION = """\
# Decisions of a gateway

Which rule decides what, in the order in which a request meets them.  Each rule is one module of
`tinrudder/gateway/decisions`, pure, without clock, network or configuration of its own; its
docstring also gives the reason.  `python -m tinrudder_lab.decisions_page` writes this page from the
docstrings of the rules, and a test says when it is not current.

Log lines are JSON with their name in the field `event`.  A refused request is one line `request`
with outcome `NotRun` and a `detail` that says what refused it.
"""

REFUSALS = (
    Refusal(
        "no configuration is known yet",
        "",
        "a process that has just started; neither the store nor a peer has answered",
    ),
    Refusal(
        "no word from store or peers lately",
        "placement/route_table",
        "no such route or key here, and a newer configuration may be in force elsewhere",
    ),
    Refusal(
        "quota: no home of the tenant answers",
        "admission/token_buckets",
        "the owner of the tenant's token bucket is silent, and so are those asked after it",
    ),
    Refusal(
        " a second and ", "admission/token_buckets", "outcome `OverQuota`: the limit is used up"
    ),
    Refusal("no back end is in reach", "fleet/zone_paths", "all are in zones out of reach"),
    Refusal(
        "of the shards are in reach", "fleet/zone_paths", "too few shards can be had from here"
    ),
    Refusal(
        "of what may be held", "admission/memory_bound", "the account of memory is nearly full"
    ),
    Refusal(
        "poison: back ends crashed under this request",
        "admission/poison_requests",
        "barred before it began",
    ),
    Refusal(
        "back ends crashed under this request: it is not sent again",
        "admission/poison_requests",
        "barred while it was at work, or its canary was lost",
    ),
    Refusal(
        "overload: wait ",
        "admission/shared_service",
        "the queues of one service's back ends: the least of the shares by the wait "
        "(load_forecast), by what fits into the queues, and the tenant's (tenant_shares)",
    ),
    Refusal("overload: place ", "admission/scatter_queue", "the queue of an index at one gateway"),
    Refusal(
        "every back end left is cold and has had this gateway's part of calls",
        "placement/cold_start_rate",
        "all have just started",
    ),
    Refusal("every back end left is in an evacuated zone", "", "the operator evacuates zones"),
    Refusal("every back end left is in a zone out of reach", "fleet/zone_paths", "as above"),
    Refusal("no back end is known", "", "the store has no entry for the service"),
)

CHAPTERS = (
    Chapter(
        "May it be served here?",
        "`gateway/requests/refusals.py` asks in this order: a configuration is known; "
        "the request has a route; its key is good (`gateway/requests/authentication.py`, with"
        " the bound of `gateway/store/staleness_bound.py` on how old that knowledge may be); "
        "its tenant's quota; a way to enough back ends (`gateway/peers/reachability.py`); "
        "memory; no crashes under it; and last the queues. The first that refuses ends it.",
        (
            "placement/route_table",
            "admission/token_buckets",
            "fleet/zone_paths",
            "admission/memory_bound",
            "admission/crash_evidence",
            "admission/poison_requests",
        ),
    ),
    Chapter(
        "Would it be answered in time?",
        "A request for one back end is judged by `gateway/requests/service_admission.py` when"
        " it comes. A scatter enters the queue of its index, "
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
        "Here, at a coordinator (`gateway/scatters/delegated_scatter.py`), or in part at "
        "gateways beside the replicas (`gateway/scatters/scatter_planner.py`).",
        ("placement/coordinator_choice", "placement/shard_placement", "attempts/peer_round_trip"),
    ),
    Chapter(
        "Which back end?",
        "`gateway/backends/backend_directory.py` leaves those that may get a call, "
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
        "`gateway/runs/shard_calls.py` asks for each shard. Before any call "
        "`gateway/runs/run_guard.py` says whether it may leave after back ends were lost."
        " A retry needs no age: it leaves when a call has failed and was provably not run, or"
        " may be repeated, at most `MAX_SENDS` times a shard.",
        ("attempts/hedge_gain", "attempts/hedge_delay", "attempts/fleet_retry_budget"),
    ),
    Chapter(
        "When does the answer leave, and when is it given up?",
        "`gateway/runs/request_run.py` decides after each part and when a moment comes.",
        ("attempts/answer_time",),
    ),
    Chapter(
        "What does a refusal say?",
        "Outcome `NotRun` means that nothing has run. Its `detail` goes to the log, with the "
        "figures that decided; the caller gets the moment to come back. That is a constant "
        "of the rule that refused, or for load:",
        ("admission/retry_after",),
    ),
    Chapter(
        "What do gateways decide for the fleet?",
        "Beside requests: whether this gateway is ready or cut off "
        "(`gateway/peers/zone_monitor.py`, on the zone paths above), who reads the store "
        "(`gateway/store/store_readers.py`) and who coordinates, both on the choice of "
        "coordinators above, and who owns a tenant's token bucket "
        "(`gateway/quotas/bucket_owner_choice.py`).",
        ("fleet/process_pause", "fleet/load_news", "fleet/send_budget"),
    ),
)


def rule_paths() -> list[str]:
    """Return the rule modules that the page names, in its order."""
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
    """Return the anchor that a heading gets."""
    kept = "".join(one for one in heading.lower() if one.isalnum() or one in " -")
    return kept.replace(" ", "-")


def _render_rule(rule: Rule) -> Iterator[str]:
    """Yield the lines of one rule."""
    yield from ("", f"### {rule.question}", "", f"`gateway/decisions/{rule.path}.py`", "")
    for paragraph in rule.paragraphs:
        label, _, text = paragraph.partition(": ")
        if label in LABELS:
            yield f"- *{label}:* {_as_markdown(text)}"
    for constant in rule.constants:
        yield f"- `{constant.name}` = {constant.value}: {_as_markdown(constant.reason)}"


def _as_markdown(text: str) -> str:
    """Turn the marks of docstrings into those of the page."""
    for role in (":data:", ":class:", ":meth:", ":mod:"):
        text = text.replace(role, "")
    return text.replace("``", "`")


def main() -> None:
    """Write the page."""
    PAGE.write_text(render())


if __name__ == "__main__":
    main()
