"""The command-line interface for operators."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec
import pytest

from boragespool.cli.commands import COMMANDS
from boragespool.cli.fleet_status import parse_status, revision_by_live_host
from boragespool.cli.main import main
from boragespool.controllers.configuration.applying import (
    AppliedChange,
    RevisionConflict,
    apply_change,
)
from boragespool.results import Failure, ResultCode
from boragespool.revisions import CURRENT_KEY, Change, next_document
from boragespool.settings import Settings
from boragespool.settings.schema import AddressSettings
from boragespool.store import Conflict, Missing, StoredValue
from boragespool.types import RunState
from tests.standin_thread import closing_daemon, fake_daemon, platform

EXAMPLE = 'examples/cooperative'


class Operator:
    """Runs the command with JSON output.

    Parameters
    ----------
    capsys : pytest.CaptureFixture
        Captures the output.
    **flags
        Values of flags, which are passed as environment variables.
    """

    def __init__(self, capsys, **flags):
        self.capsys = capsys
        self.environment = {
            f'BORAGESPOOL_{name.upper()}': str(value)
            for name, value in flags.items()
        } | {'BORAGESPOOL_OUTPUT': 'json', 'BORAGESPOOL_AUTHOR': 'amina'}

    def __call__(self, *arguments):
        """Run the command; return its exit code and decoded output."""
        self.capsys.readouterr()
        code = main(arguments, self.environment)
        return code, msgspec.json.decode(self.capsys.readouterr().out)


@pytest.fixture
def operator(capsys):
    """Command that uses a running stand-in of the platform."""
    with platform() as running:
        operator = Operator(capsys, store=running.address, timeout_s=1)
        operator.platform = running
        yield operator


class FakeStore:
    """Store in memory whose writes of the current revision fail as given.

    Parameters
    ----------
    *faults : str
        Faults of the first writes. ``lost``: the write takes effect, but its
        answer is lost. ``unsent``: the write is refused. ``silent``: the
        write has no effect and no answer, and reads fail while this is the
        next fault; as the last one it applies to all further writes.
    """

    def __init__(self, *faults):
        self.faults = list(faults)
        self.values_by_key = {}

    async def get(self, key):
        await asyncio.sleep(0)
        if self.faults and self.faults[0] == 'silent':
            return Failure(ResultCode.STORE_UNAVAILABLE, 'no answer')
        return self.values_by_key.get(key) or Missing(key)

    async def put(self, key, value, expected_version):
        await asyncio.sleep(0)
        fault = ''
        if self.faults and key == CURRENT_KEY:
            last = len(self.faults) == 1 and self.faults[0] == 'silent'
            fault = self.faults[0] if last else self.faults.pop(0)
        if fault == 'unsent':
            return Failure(ResultCode.STORE_UNAVAILABLE, 'refused')
        stored = self.values_by_key.get(key)
        version = stored.version if stored else 0
        if version == expected_version and fault != 'silent':
            self.values_by_key[key] = StoredValue(key, value, version + 1)
        if fault:
            run = RunState.UNKNOWN
            return Failure(ResultCode.STORE_UNAVAILABLE, 'lost', run)
        if version != expected_version:
            return Conflict(key, version)
        return version + 1


def builder_of(name, count=3):
    """Return the function that builds the next revision of one operator."""

    def build(base):
        settings = Settings(addresses=AddressSettings(count=count))
        return next_document(settings, base, Change(name, 'apply', name, 1))

    return build


def run_change(store, name='a', answer_timeout_s=0.4):
    """Apply one change and return its result."""
    return asyncio.run(apply_change(store, builder_of(name), answer_timeout_s))


@pytest.mark.parametrize(
    'faults', [(), ('lost',), ('unsent', 'lost'), ('lost', 'lost', 'lost')]
)
def test_lost_answers_are_settled_by_change_id(faults):
    """Guards against a change that is applied twice or reported as failed.

    The store may have written a change whose answer was lost. The command has
    to read the store, and find its change by the identifier.
    """
    store = FakeStore(*faults)
    result = run_change(store, answer_timeout_s=5)
    assert isinstance(result, AppliedChange)
    assert store.values_by_key[CURRENT_KEY].version == 1


def test_unanswered_change_is_unconfirmed_or_not_written():
    """Guards against `not_run` for a change that may still take effect.

    A write without an answer may have been accepted; only a refused one was
    certainly not.
    """
    unconfirmed = run_change(FakeStore('lost', 'silent'))
    assert unconfirmed.code == ResultCode.APPLY_UNCONFIRMED
    assert unconfirmed.run is RunState.UNKNOWN
    unsent = run_change(FakeStore(*['unsent'] * 50))
    assert unsent.code == ResultCode.STORE_UNAVAILABLE
    assert unsent.run is RunState.NOT_RUN


def test_one_of_two_racing_operators_wins():
    """Guards against a change that silently replaces or merges another one.

    Two operators build their changes on the same revision. The second must
    get a conflict, with the revision that was accepted and its own.
    """
    store = FakeStore()

    async def race():
        return await asyncio.gather(
            apply_change(store, builder_of('a', 4), 2),
            apply_change(store, builder_of('b', 5), 2),
        )

    applied, refused = sorted(
        asyncio.run(race()),
        key=lambda result: isinstance(result, RevisionConflict),
    )
    assert isinstance(applied, AppliedChange)
    assert isinstance(refused, RevisionConflict)
    assert refused.found == applied.document
    assert refused.wanted.settings != refused.found.settings


def test_life_of_a_configuration(operator):
    """Guards against a command that breaks the configuration or its history.

    Each command reads the revision that the previous one wrote, and must
    write a valid one with its own audit entry.
    """
    assert operator('show')[0] == 1
    code, applied = operator('apply', EXAMPLE, '--note', 'first')
    assert (code, applied['revision']) == (0, 1)
    assert operator('diff', EXAMPLE) == (0, {'revision': 1, 'difference': []})
    code, drained = operator('drain', 'north-truck-roster')
    assert [change['path'] for change in drained['difference']] == [
        'services.truck-roster.servers.truck-roster-1.drained',
    ]
    code, refused = operator('apply', EXAMPLE)
    assert code == 1
    assert 'truck-roster-1' in refused['failure']['reason']
    assert operator('drain', 'nowhere')[0] == 1
    assert operator('undrain', 'north-truck-roster')[0] == 0
    assert operator('rollback', '2', '--undrain')[1]['revision'] == 4
    assert operator('rollback', '77')[0] == 1
    assert operator('rollback', 'x')[0] == 1
    assert operator('clear', '0x10')[0] == 0
    _, shown = operator('show')
    assert shown['cleared'] == [{'fingerprint': 16, 'revision': 5}]
    servers = shown['settings']['services']['truck-roster']['servers']
    assert servers['truck-roster-1']['drained'] is True
    _, trail = operator('audit')
    assert [(entry['action'], entry['revision']) for entry in trail] == [
        ('clear', 5),
        ('rollback', 4),
        ('undrain', 3),
        ('drain', 2),
        ('apply', 1),
    ]
    assert trail[-1]['note'] == 'first'
    assert {entry['author'] for entry in trail} == {'amina'}


def test_conflict_shows_the_difference(operator, tmp_path):
    """Guards against overwriting a revision that the operator has not seen.

    This would happen if ``--base`` were not compared with the store.
    """
    operator('apply', EXAMPLE)
    code, refused = operator('apply', 'examples/mwangaza', '--base', '0')
    assert code == 3
    assert refused['failure']['code'] == ResultCode.REVISION_CONFLICT
    assert 'services.agent-app.slots' in {
        change['path'] for change in refused['difference']
    }
    assert operator('audit')[1][0]['revision'] == 1


def test_answer_lost_by_the_platform(operator):
    """Guards against a failure report for a change that was written.

    The platform writes the change, but its answer to the command is lost.
    """
    operator.platform.control({'lost_answers': 1})
    assert operator('apply', EXAMPLE)[0] == 0
    assert len(operator('audit')[1]) == 1


def test_store_outage_has_its_own_exit_code(operator):
    """Guards against scripts that take an outage for a refused change.

    While the store is down, every command must return its own exit code for
    this, and write nothing.
    """
    operator('apply', EXAMPLE)
    operator.platform.control({'down': True})
    for arguments in (
        ('apply', EXAMPLE, '--patience_s', '0.3'),
        ('show',),
        ('audit',),
        ('diff', EXAMPLE),
        ('rollback', '1'),
    ):
        assert operator(*arguments)[0] == 4, arguments
    operator.platform.control({'down': False})
    assert len(operator('audit')[1]) == 1


def status_of(revisions_by_host):
    """Return the status of a daemon with these and one dead member."""
    members = [
        {'host': host, 'status': 'alive', 'revision': revision}
        for host, revision in revisions_by_host.items()
    ]
    members.append({'host': 'old', 'status': 'dead', 'revision': 0})
    return {'host': 'h1', 'phase': 'ready', 'revision': 1, 'members': members}


def test_wait_names_daemons_that_lag(operator):
    """Guards against reporting success before all daemons have a change.

    Live daemons with an older revision must be listed; dead ones must not be
    waited for.
    """
    revisions = {'h1': 1, 'h2': 0}
    with fake_daemon(lambda _: status_of(revisions)) as entry:
        flags = ('--wait', '--entry', entry.address, '--wait_s')
        code, applied = operator('apply', EXAMPLE, *flags, '0.3')
        assert code == 6
        assert applied['lagging'] == ['h2']
        assert applied['in_force_at'] == ['h1']
        revisions.update(h1=2, h2=3)
        assert operator('apply', EXAMPLE, *flags, '5')[0] == 0
    assert operator('apply', EXAMPLE, *flags, '0')[0] == 6


def test_status_is_read_leniently(operator):
    """Guards against a command that fails on the status of other releases.

    Their daemons may omit fields, add some, or use other types.
    """
    with fake_daemon(lambda _: status_of({'h1': 1})) as entry:
        code, shown = operator('status', '--entry', entry.address)
        assert code == 0
        assert shown[entry.address]['host'] == 'h1'
        both = f'{entry.address},127.0.0.1:1'
        assert operator('status', '--entry', both)[0] == 7
    assert parse_status([]).revision == 0
    odd = {'members': {'a': {'host': 'a', 'status': 'alive'}, 'b': 4}}
    assert revision_by_live_host([odd, None, {}]) == {'a': 0}


@pytest.mark.parametrize(
    ('run', 'status', 'code'),
    [('run', 200, 0), ('unknown', 504, 5), ('not_run', 409, 7)],
)
def test_claim_uses_one_ticket(capsys, run, status, code):
    """Guards against a claim that runs twice because it is sent again.

    The operator needs the ticket to ask for an unknown outcome, so the
    command must print it, and use a given ticket instead of a new one.
    """
    bodies = []

    def answer(request):
        if request.path == '/v1/addresses':
            return {'tickets': ['t1']}
        bodies.append(msgspec.json.decode(request.body))
        return {'run': run, 'http_status': status}

    with fake_daemon(answer) as entry:
        operator = Operator(capsys, entry=entry.address)
        found, shown = operator('claim', 'r', '{"lot": 1}', '--rank', 'urgent')
        assert found == code
        assert shown['ticket'] == 't1'
        operator('claim', 'r', '1', '--ticket', 't0')
        assert operator('claim', 'r', '{')[0] == 1
        assert operator('query', 'r', '[]')[0] == code
    assert [body.get('ticket') for body in bodies] == ['t1', 't0', None]
    assert bodies[0]['body'] == {'lot': 1}
    assert bodies[0]['rank'] == 'urgent'
    assert operator('claim', 'r', '1')[0] == 7
    assert operator('query', 'r', '1')[0] == 7


def test_claim_that_one_entry_may_have_run_is_unknown(capsys):
    """Guards against `not_run` for a claim that may have run.

    The first daemon closes the connection after the claim was sent; the
    connection to the second is refused. The claim may have run at the first.
    """
    with closing_daemon() as entry:
        operator = Operator(capsys, entry=f'{entry},127.0.0.1:1')
        code, shown = operator('claim', 'r', '1', '--ticket', 't0')
    assert code == 5
    assert '--ticket t0' in shown['failure']['reason']


def test_check_lists_every_problem(capsys, tmp_path):
    """Guards against a check that stops at the first of several problems."""
    (tmp_path / '1.toml').write_text('typo = 1\nroutes = 2\n')
    code, shown = Operator(capsys)('check', str(tmp_path))
    assert code == 1
    assert {problem['key'] for problem in shown['problems']} == {
        'typo',
        'routes',
    }
    assert main(('check', str(tmp_path)), {}) == 1
    assert 'error 2001 unknown_setting: 1.toml: typo' in capsys.readouterr().out
    assert main(('check', EXAMPLE), {}) == 0
    assert 'the folder is valid' in capsys.readouterr().out


def test_flag_goes_before_environment(capsys):
    """Guards against an environment variable that overrides a flag.

    Invalid values of either must be refused.
    """
    environment = {'BORAGESPOOL_OUTPUT': 'json'}
    assert main(('check', EXAMPLE), environment) == 0
    assert capsys.readouterr().out.startswith('{')
    assert main(('check', EXAMPLE, '--output', 'table'), environment) == 0
    assert capsys.readouterr().out.startswith('services')
    assert main(('check', EXAMPLE), {'BORAGESPOOL_OUTPUT': 'xml'}) == 2
    for address in ('localhost:1', '127.0.0.1'):
        with pytest.raises(SystemExit, match='2'):
            main(('show', '--store', address), {})


@pytest.mark.parametrize('command', COMMANDS, ids=lambda command: command.name)
def test_help_shows_example_variables_and_exit_codes(command, capsys):
    """Guards against help texts and a guide that do not match the flags.

    This happens when a flag or command is added without documentation.
    """
    with pytest.raises(SystemExit, match='0'):
        main((command.name, '--help'), {})
    shown = capsys.readouterr().out
    assert command.example in shown
    assert 'exit codes:' in shown
    for name in ('output', *command.flags):
        assert f'--{name}' in shown
        assert f'BORAGESPOOL_{name.upper()}.' in shown
    guide = pathlib.Path('docs/operators.md').read_text(encoding='utf-8')
    assert command.example in guide
