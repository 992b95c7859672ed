"""Seeded searches for answers that go back find none."""

from __future__ import annotations

import pytest

from tests.scenarios.answer_search import AnswerSearch


@pytest.mark.parametrize(
    ("nodes", "seed"), [(3, 0), (3, 8), (3, 31), (3, 36), (5, 2), (5, 10), (5, 19), (5, 31)]
)
def test_no_answer_goes_back_under_drawn_failures(nodes: int, seed: int) -> None:
    # Each of these draws broke the rule before changes on their way counted as uncertain and
    # deletions were remembered.
    assert not AnswerSearch(seed, 12, nodes, 40).run()
