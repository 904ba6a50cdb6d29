"""Entry point of the command-line interface."""

import argparse
import os
import sys
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from fescueflow import __version__, gateway
from fescueflow.cli.commands import (
    EXIT_FAILED,
    EXIT_INVALID,
    check,
    diff_configuration,
    pack_configuration,
    serve,
    show_audit,
    show_configuration,
    show_status,
)
from fescueflow.cli.directory import UnreadableDirectory
from fescueflow.cli.explain import explain
from fescueflow.cli.remote import RemoteError
from fescueflow.core import InvalidConfiguration, InvalidSettings
from fescueflow.settings import add_arguments

Command = Callable[[argparse.Namespace, Mapping[str, str]], int]
DESCRIPTION = """\
Router fleet between callers and upstreams. Settings are flags of `serve` or
environment variables FESCUEFLOW_<NAME>; flags take precedence."""
EPILOG = """\
exit codes: 0 success; 1 no response, or a difference found by `config diff`;
2 invalid input, with the location of every problem"""


def add_address(
    parser: argparse.ArgumentParser, environment: Mapping[str, str]
) -> None:
    """Add the option for the address of the instance that a command contacts."""
    default = environment.get("FESCUEFLOW_HTTP_ADDRESS")
    parser.add_argument(
        "--address",
        default=default,
        required=default is None,
        metavar="IP:PORT",
        help="HTTP address of a running instance [FESCUEFLOW_HTTP_ADDRESS]",
    )


def add_command(
    group: Any, output: argparse.ArgumentParser, name: str, run: Command, text: str
) -> argparse.ArgumentParser:
    """Add a command with the options of ``output`` and return its parser."""
    command_parser: argparse.ArgumentParser = group.add_parser(
        name, help=text, description=text, parents=[output]
    )
    command_parser.set_defaults(run=run)
    return command_parser


def add_configuration_commands(
    commands: Any, output: argparse.ArgumentParser, environment: Mapping[str, str]
) -> None:
    """Add the commands below ``config``."""
    config = commands.add_parser("config", help="show, compare or pack configurations")
    parts = config.add_subparsers(required=True, metavar="COMMAND")
    text = "show the configuration in force on an instance"
    show_parser = add_command(parts, output, "show", show_configuration, text)
    add_address(show_parser, environment)
    show_parser.add_argument("--customer", help="id of a customer to show in full")
    text = "compare a directory with the configuration in force on an instance"
    diff_parser = add_command(parts, output, "diff", diff_configuration, text)
    diff_parser.add_argument("directory")
    add_address(diff_parser, environment)
    diff_parser.add_argument(
        "--customer",
        action="append",
        default=[],
        help="id of a customer to compare as well; repeatable",
    )
    text = "print the manifest of a directory's sections and their digests"
    pack_parser = add_command(parts, output, "pack", pack_configuration, text)
    pack_parser.add_argument("directory")


def make_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="fescueflow",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    output = argparse.ArgumentParser(add_help=False)
    output.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    add = partial(add_command, commands, output)
    add_arguments(add("serve", serve, "run one instance"))
    check_parser = add("check", check, "check settings and a configuration")
    check_parser.add_argument(
        "directory", nargs="?", help="manifest.json, sections/*.json"
    )
    add_arguments(check_parser)
    status_parser = add("status", show_status, "show the state of an instance")
    add_address(status_parser, environment)
    audit_parser = add("audit", show_audit, "print audit records of an instance")
    add_address(audit_parser, environment)
    audit_parser.add_argument(
        "--after", type=int, default=0, help="sequence number [0]"
    )
    add_configuration_commands(commands, output, environment)
    add("gateway", run_gateway, "run one instance on the platform")
    explain_parser = add("explain", explain, "print the log lines about a request")
    explain_parser.add_argument("id", help="id of the request's attempt")
    explain_parser.add_argument("logs", nargs="*", help="log files [standard input]")
    return parser


def run_gateway(_: argparse.Namespace, environment: Mapping[str, str]) -> int:
    """Run one instance with the settings file of the platform."""
    return gateway.run(environment)


def main(
    arguments: list[str] | None = None, environment: Mapping[str, str] | None = None
) -> int:
    """Run the command line.

    Parameters
    ----------
    arguments : list of str, optional
        ``sys.argv[1:]`` by default.
    environment : mapping of str to str, optional
        ``os.environ`` by default.

    Returns
    -------
    int
        Exit code: 0, 1 for a failure or difference, 2 for invalid input.
    """
    variables = os.environ if environment is None else environment
    parsed = make_parser(variables).parse_args(arguments)
    try:
        code: int = parsed.run(parsed, variables)
        return code
    except (InvalidSettings, InvalidConfiguration) as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_INVALID
    except UnreadableDirectory as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    except RemoteError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe.
        return EXIT_FAILED
