"""Runs the story of one case against a deployment, and exits with the case's code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable

from world import Config, World

#: a case that is not over by then could not run
LIMIT_S = 118.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be brought about, so that it shows nothing."""


def has_trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _start(world: World) -> None:
    await world.start()
    if not await world.healthy():
        raise CouldNotRunError("the controllers did not become healthy")


async def _play(config: Config, record: str, story: Callable[[World], Awaitable[None]]) -> int:
    world = World(config, record)
    try:
        async with asyncio.timeout(LIMIT_S):
            await _start(world)
            await story(world)
    except (CouldNotRunError, TimeoutError, OSError) as error:
        traceback.print_exc()
        world.log("could-not-run", error=error)
        return COULD_NOT_RUN
    finally:
        world.close()
    for line in world.rules.broken:
        print(line)
    world.log("result", broken=len(world.rules.broken))
    return BROKEN if world.rules.broken else HELD


def run_case(config: Config, record: str, story: Callable[[World], Awaitable[None]]) -> None:
    """Play a story on a deployment, print the broken rules, and exit."""
    sys.exit(asyncio.run(_play(config, record, story)))
