"""Under random failures no reply contradicts an earlier one (fixed seeds)."""

from __future__ import annotations

import pytest

from tests.scenarios.answer_search import AnswerSearch


@pytest.mark.parametrize(
    ("nodes", "seed"), [(3, 0), (3, 8), (3, 31), (3, 36), (5, 2), (5, 10), (5, 19), (5, 31)]
)
def test_no_answer_goes_back_under_drawn_failures(nodes: int, seed: int) -> None:
    # With each of these seeds a reported state regresses if a node answers while a commit to the
    # job's record is in flight, or if a late response to an older read restores a deleted record.
    assert not AnswerSearch(seed, 12, nodes, 40).run()
