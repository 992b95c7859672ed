"""Command line of marblestair: serve, check a settings file, or print a controller's status."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import os
import sys

import msgspec

from marblestair import __version__
from marblestair.log_levels import LOG_LEVELS
from marblestair.net.peers import Link
from marblestair.node import serve
from marblestair.policy import Policy, PolicyError
from marblestair.policy import load as load_policy
from marblestair.settings import Settings, SettingsError, load, split_address

EXIT_OK = 0
#: the controller could not listen, or returned no status
EXIT_FAILURE = 1
#: an argument, the settings file or the policy script is invalid
EXIT_BAD_INPUT = 2

#: sender name in the status request
STATUS_SENDER = "status"
#: timeout of the status request
STATUS_TIMEOUT_S = 3.0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="marblestair",
        description="One controller of the marblestair cluster scheduler.",
        epilog="Logs go to standard error; LOG_LEVEL is error, info (the default) or debug.",
    )
    parser.add_argument("--version", action="version", version=f"marblestair {__version__}")
    parser.add_argument("--policy", metavar="SCRIPT", help="policy script (Starlark) to use")
    action = parser.add_mutually_exclusive_group(required=True)
    action.add_argument("--config", metavar="FILE", help="serve with this settings file (TOML)")
    action.add_argument(
        "--check", metavar="FILE", help="check a settings file (and a policy script), then exit"
    )
    action.add_argument(
        "--status",
        metavar="HOST:PORT",
        help="print status of the controller at its cluster address",
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = _parser().parse_args(argv)
    if arguments.status:
        return _print_status(arguments.status)
    try:
        settings = load(arguments.config or arguments.check)
        policy = load_policy(arguments.policy, settings) if arguments.policy else Policy()
    except (SettingsError, PolicyError) as error:
        _print_error(str(error))
        return EXIT_BAD_INPUT
    if arguments.check:
        print(f"{arguments.check}: ok")
        return EXIT_OK
    return _serve(settings, policy)


def _serve(settings: Settings, policy: Policy) -> int:
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO),
        format="%(levelname).1s %(message)s",
    )
    try:
        serve(settings, policy)
    except OSError as error:
        _print_error(str(error))
        return EXIT_FAILURE
    except KeyboardInterrupt:
        return EXIT_OK
    return EXIT_OK


def _print_status(address: str) -> int:
    try:
        split_address(address)
    except ValueError as error:
        _print_error(f"--status: {error}")
        return EXIT_BAD_INPUT
    status = asyncio.run(_request_status(address))
    if status is None:
        _print_error(
            f"no status from {address}: no connection, or no response within {STATUS_TIMEOUT_S:g} s"
        )
        return EXIT_FAILURE
    print(msgspec.json.format(msgspec.json.encode(status)).decode())
    return EXIT_OK


async def _request_status(address: str) -> object:
    with contextlib.closing(Link(STATUS_SENDER, address)) as link:
        return await link.request("status", [], STATUS_TIMEOUT_S)


def _print_error(text: str) -> None:
    print(f"marblestair: {text}", file=sys.stderr)
