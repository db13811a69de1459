"""placeholder"""

from tinrudder_lab.report import RunResult
from tinrudder_lab.scenarios import Scenario


def run_in_processes(scenario: Scenario, seed: int) -> RunResult:
    """Run."""
    raise NotImplementedError
