"""The version in production is loaded from the repository's history."""

from __future__ import annotations

import pytest

from marblestair.core.controller import Controller
from tests.fakes import production
from tests.helpers import start_deployment


def test_the_version_in_production_is_another_than_the_present_one() -> None:
    controller = start_deployment(in_production=True).nodes.controllers["n0"]
    assert isinstance(controller, production.ProductionController)
    assert type(controller.core) is not Controller
    assert not hasattr(controller.core, "job_services")
    assert not hasattr(controller.core, "pipelines")


def test_a_history_without_the_version_in_production_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(production, "commit", lambda: "0" * 40)
    with pytest.raises(production.HistoryError):
        production.Production()
