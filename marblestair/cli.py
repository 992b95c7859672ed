"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from marblestair import __version__
from marblestair.policy import Policy, PolicyError
from marblestair.policy import load as load_policy
from marblestair.settings import SettingsError, load, split_address

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    p = argparse.ArgumentParser(
        prog="marblestair",
        description="One controller of the marblestair cluster scheduler.",
        epilog="Logs go to standard error; LOG_LEVEL is error, info (the default) or debug.",
    )
    p.add_argument("--version", action="version", version=f"marblestair {__version__}")
    p.add_argument("--policy", metavar="SCRIPT", help="the operators' own settings (Starlark)")
    group = p.add_mutually_exclusive_group(required=True)
    group.add_argument("--config", metavar="FILE", help="serve with this settings file (TOML)")
    group.add_argument(
        "--check", metavar="FILE", help="only check a settings file (and a policy script)"
    )
    group.add_argument(
        "--status", metavar="HOST:PORT", help="ask the controller with this cluster address"
    )
    return p


def _status(address: str) -> int:
    import asyncio

    import msgspec

    from marblestair.net.peers import Link

    try:
        split_address(address)
    except ValueError as e:
        print(f"marblestair: --status: {e}", file=sys.stderr)
        return 2

    async def ask() -> object:
        return await Link("status", address).ask("status", [], 3.0)

    answer = asyncio.run(ask())
    if answer is None:
        print(f"marblestair: no answer from {address}", file=sys.stderr)
        return 1
    print(msgspec.json.format(msgspec.json.encode(answer)).decode())
    return 0


def main(argv: list[str] | None = None) -> int:
    """Entry point; the result is the exit code."""
    args = _parser().parse_args(argv)
    if args.status:
        return _status(args.status)
    try:
        settings = load(args.config or args.check)
        policy = load_policy(args.policy, settings) if args.policy else Policy()
    except (SettingsError, PolicyError) as e:
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
        serve(settings, policy)
    except OSError as e:
        print(f"marblestair: {e}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 0
    return 0
