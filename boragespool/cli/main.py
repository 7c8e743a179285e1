"""Entry point of the command line program ``boragespool``."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from typing import TYPE_CHECKING, Final

from absl import flags
from absl.flags.argparse_flags import ArgumentParser

from boragespool.cli.commands import COMMANDS
from boragespool.cli.flags import define_flags
from boragespool.cli.invocation import Invocation
from boragespool.cli.outcome import ExitCode, describe_failure
from boragespool.cli.output import render
from boragespool.events import configure_logging
from boragespool.results import Failure

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from boragespool.cli.invocation import Command
    from boragespool.cli.outcome import Outcome

_EXIT_CODES: Final = """exit codes:
  0  done
  1  the settings, or an argument, are not allowed
  2  wrong usage
  3  conflict: another revision was written first
  4  the store is unavailable; nothing of the change is in force
  5  not known whether the change, or the claim, took effect
  6  accepted, but not in force everywhere within --wait_s
  7  a daemon refused or did not answer
"""


def run() -> None:
    """Run the program with the arguments of this process and exit."""
    sys.exit(main(sys.argv[1:], os.environ))


def main(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Run one command and print its outcome.

    Parameters
    ----------
    arguments : sequence of str
        Command line without the program name.
    environment : mapping
        ``BORAGESPOOL_<FLAG>`` variables.

    Returns
    -------
    int
        Exit code.

    Raises
    ------
    SystemExit
        With code 0 for ``--help`` and 2 for wrong usage.
    """
    try:
        flag_values_by_command = {
            command.name: define_flags(
                ('output', *command.flags),
                environment,
            )
            for command in COMMANDS
        }
    except flags.Error as error:
        return _usage_error(error)
    parser = _build_parser(flag_values_by_command)
    try:
        parsed = vars(parser.parse_args(list(arguments)))
    except flags.Error as error:
        return _usage_error(error)
    command: Command = parsed.pop('command')
    values = flag_values_by_command[command.name].flag_values_dict()
    configure_logging('ERROR')
    invocation = Invocation(command.name, parsed, values)
    outcome = asyncio.run(_run_command(command, invocation))
    if isinstance(outcome, Failure):
        outcome = describe_failure(outcome)
    print(render(outcome, values['output']))
    return outcome.exit_code


async def _run_command(
    command: Command,
    invocation: Invocation,
) -> Outcome | Failure:
    return await command.action(invocation)


def _usage_error(error: flags.Error) -> int:
    print(f'boragespool: error: {error}', file=sys.stderr)
    return ExitCode.USAGE


def _build_parser(
    flag_values_by_command: Mapping[str, flags.FlagValues],
) -> argparse.ArgumentParser:
    # absl does not annotate this constructor.
    make_parser: Callable[..., argparse.ArgumentParser] = ArgumentParser
    parser = make_parser(
        prog='boragespool',
        description='Configures and inspects a boragespool system.',
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        inherited_absl_flags=None,
    )
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.help_text,
            description=command.help_text,
            epilog=f'example:\n  {command.example}\n\n{_EXIT_CODES}',
            formatter_class=argparse.RawDescriptionHelpFormatter,
            inherited_absl_flags=flag_values_by_command[command.name],
        )
        subparser.set_defaults(command=command)
        for name, help_text in command.arguments.items():
            subparser.add_argument(name, help=help_text)
    return parser


if __name__ == '__main__':
    run()
