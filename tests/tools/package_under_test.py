"""The only place that names parts of the package whose versions are compared."""

from __future__ import annotations

import pathlib
from typing import Any


async def run_controller(raw_settings: dict[str, Any], policy_script: pathlib.Path | None) -> None:
    """Run one controller for good, as the command line does it.

    The package is imported only here, after the clock and the source of randomness are in place.
    """
    from marblestair import node, policy, settings

    parsed = settings.parse(raw_settings)
    chosen = policy.load(str(policy_script), parsed) if policy_script else policy.Policy()
    await node.Node(parsed, chosen).run()


def package_directory() -> pathlib.Path:
    """Where the package under test is."""
    import marblestair

    return pathlib.Path(str(marblestair.__file__)).resolve().parent
