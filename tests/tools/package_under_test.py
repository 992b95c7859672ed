"""Access to the package under test; no other module of the tools imports it.

Both versions that are compared must have the names that are used here.
"""

from __future__ import annotations

import pathlib
from typing import Any


async def run_controller(raw_settings: dict[str, Any], policy_script: pathlib.Path | None) -> None:
    """Run one controller forever, as the command line does.

    Imports the package on the call, after the clock and the random sources have been replaced.
    """
    from marblestair import node, policy, settings

    parsed = settings.parse(raw_settings)
    chosen = policy.load(str(policy_script), parsed) if policy_script else policy.Policy()
    await node.Node(parsed, chosen).run()


def package_directory() -> pathlib.Path:
    """Return the directory of the package under test."""
    import marblestair

    return pathlib.Path(str(marblestair.__file__)).resolve().parent
