"""Runs a case and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

#: a case runs for less than 120 s
MAX_RUN_S = 118.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: plays the case with or without the disruption; returns whether the rule was broken
Play = Callable[[Path, bool], Awaitable[bool]]


async def _play(folder: Path, play: Play) -> bool:
    loop = asyncio.get_running_loop()
    running = asyncio.current_task()
    if running is not None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, running.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await play(folder, os.environ.get("TROUBLE", "1") != "0")


def main(folder: Path, play: Play) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    try:
        is_broken = asyncio.run(_play(folder, play))
    except BaseException:
        traceback.print_exc()
        sys.exit(NOT_RUN)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
