"""Steps that run operator commands and check the revision in force."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from features.observer import RevisionObserver
from tests.processes import ROOT, wait_until

COMMAND_LIMIT_S = 30
APPLY_ARGUMENTS = ('apply', '--patience_s=4')


@given('an observer of the revisions')
def observe(context):
    observer = RevisionObserver(context.fleet)
    context.observer = observer
    context.stack.callback(observer.stop)
    observer.start()


def write_folder(context, count):
    """Write the settings to a folder for `apply`; return its path.

    `count` becomes ``addresses.count``, the setting that the change sets.
    """
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    lines = []
    for name, service in context.fleet.settings.services.items():
        lines += [f'[services.{name}]', f'slots = {service.slots}']
        lines.append(f'connections = {service.connections}')
        for server, where in service.servers.items():
            lines.append(f'[services.{name}.servers.{server}]')
            lines.append(f"address = '{where.address}'")
            lines.append(f"data_centre = '{where.data_centre}'")
            lines.append(f"host = '{where.host}'")
    for name, route in context.fleet.settings.routes.items():
        lines += [f'[routes.{name}]', f"service = '{route.service}'"]
        lines.append(f"rank = '{route.rank.value}'")
        lines.append(f"form = '{route.form.value}'")
        lines.append(f'deadline_ms = {route.deadline_ms}')
    # The changed setting, which has another value for each operator.
    lines += ['[addresses]', 'keep_s = 1', f'count = {count}']
    with open(f'{folder}/10-all.toml', 'w', encoding='utf-8') as file:
        file.write('\n'.join(lines))
    return folder


def start_command(context, *arguments):
    store = f'--store={context.fleet.platform.address}'
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'boragespool.cli.main',
            *arguments,
            store,
            '--timeout_s=1',
            '--output=json',
        ],
        cwd=ROOT,
        env=os.environ | {'PYTHONPATH': str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def wait_commands(context, commands):
    context.commands = []
    for command in commands:
        output, errors = command.communicate(timeout=COMMAND_LIMIT_S)
        context.commands.append((command.returncode, output + errors))
    context.accepted_s = time.monotonic()


@when('an operator applies a change')
def apply_one(context):
    folder = write_folder(context, 4)
    wait_commands(
        context,
        [start_command(context, *APPLY_ARGUMENTS, folder, '--note=one')],
    )


@when('{count:d} operators apply different changes to revision 1 at once')
def apply_many(context, count):
    commands = [
        start_command(
            context,
            *APPLY_ARGUMENTS,
            write_folder(context, number + 1),
            '--base=1',
            f'--note=operator {number}',
        )
        for number in range(count)
    ]
    wait_commands(context, commands)


@when('the platform loses the next {count:d} answers to writes')
def lose_answers(context, count):
    context.fleet.control_platform(lost_answers=count)


@then('the command exits with {code:d}')
def exits_with(context, code):
    assert context.commands[0][0] == code, context.commands


@then('exactly one command exits with {won:d} and the others with {lost:d}')
def one_winner(context, won, lost):
    codes = sorted(code for code, _ in context.commands)
    assert codes == [won] + [lost] * (len(codes) - 1), context.commands


@then('revision {revision:d} is in force at {hosts} within {limit_s:g} s')
def in_force(context, revision, hosts, limit_s):
    """The limit starts at the end of the operator's command."""
    for host in hosts.split(','):
        wait_until(
            lambda host=host: context.fleet.revision(host) == revision,
            limit_s,
            f'revision {revision} at {host}',
        )


@then("the winner's change is in force at {hosts} within {limit_s:g} s")
def winner_in_force(context, hosts, limit_s):
    in_force(context, 2, hosts, limit_s)
    wanted = next(n for n, done in enumerate(context.commands) if not done[0])
    shown = start_command(context, 'show')
    document = json.loads(shown.communicate(timeout=COMMAND_LIMIT_S)[0])
    assert f'"count": {wanted + 1}' in json.dumps(document), document
    changes = {context.fleet.status(host)['change_id'] for host in 'abc'}
    assert len(changes) == 1, changes


@then('the audit trail has {count:d} change')
def audit_trail(context, count):
    shown = start_command(context, 'audit')
    listed = json.loads(shown.communicate(timeout=COMMAND_LIMIT_S)[0])
    entries = [e for e in _entries(listed) if e.get('note') == 'one']
    assert len(entries) == count, listed


def _entries(listed):
    """Return the list of entries in the JSON output of a command."""
    if isinstance(listed, list):
        return listed
    return next(v for v in listed.values() if isinstance(v, list))


@then('no daemon went back to an earlier revision')
def check_revisions_never_revert(context):
    context.observer.stop()
    seen = context.observer.revisions_by_host
    assert seen, 'nothing was observed'
    for host, revisions in seen.items():
        assert revisions == sorted(revisions), (host, revisions)
