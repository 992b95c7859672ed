"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from marblestair import __version__
from marblestair.settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    p = argparse.ArgumentParser(
        prog="marblestair",
        description="One controller of the marblestair cluster scheduler.",
        epilog="Logs go to standard error; LOG_LEVEL is error, info (the default) or debug.",
    )
    p.add_argument("--version", action="version", version=f"marblestair {__version__}")
    group = p.add_mutually_exclusive_group(required=True)
    group.add_argument("--config", metavar="FILE", help="serve with this settings file (TOML)")
    group.add_argument("--check", metavar="FILE", help="check a settings file, and do nothing else")
    return p


def main(argv: list[str] | None = None) -> int:
    """Entry point; the result is the exit code."""
    args = _parser().parse_args(argv)
    try:
        settings = load(args.config or args.check)
    except SettingsError as e:
        print(f"marblestair: {e}", file=sys.stderr)
        return 2
    if args.check:
        print(f"{args.check}: ok")
        return 0
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO),
        format="%(levelname).1s %(message)s",
    )
    from marblestair.node import serve

    try:
        serve(settings)
    except OSError as e:
        print(f"marblestair: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 0
    return 0
