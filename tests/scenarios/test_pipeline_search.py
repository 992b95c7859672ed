"""Under random failures cancelled pipelines cause no violation (fixed seeds)."""

from __future__ import annotations

import pytest

from tests.scenarios.pipeline_search import PipelineSearch


@pytest.mark.parametrize(("nodes", "seed"), [(3, 1), (3, 2), (5, 3)])
def test_cancelled_pipelines_leave_nothing_behind_under_drawn_failures(
    nodes: int, seed: int
) -> None:
    assert not PipelineSearch(seed, 12, nodes, 8).run()
