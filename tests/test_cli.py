"""The operators' command."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec
import pytest

from boragespool.cli.commands import COMMANDS
from boragespool.cli.fleet_status import parse_status, revision_by_live_host
from boragespool.cli.main import main
from boragespool.controllers.configuration.applying import (
    Applied,
    Refused,
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
    """Calls the command with JSON output."""

    def __init__(self, capsys, **flags):
        self.capsys = capsys
        self.environment = {
            f'BORAGESPOOL_{name.upper()}': str(value)
            for name, value in flags.items()
        } | {'BORAGESPOOL_OUTPUT': 'json', 'BORAGESPOOL_AUTHOR': 'amina'}

    def __call__(self, *arguments):
        """Return exit code and decoded output."""
        self.capsys.readouterr()
        code = main(arguments, self.environment)
        return code, msgspec.json.decode(self.capsys.readouterr().out)


@pytest.fixture
def operator(capsys):
    """An operator with a running store."""
    with platform() as running:
        called = Operator(capsys, store=running.address, timeout_s=1)
        called.platform = running
        yield called


class FakeStore:
    """Store whose answers are lost, delayed or refused by a script."""

    def __init__(self, *faults):
        self.faults = list(faults)
        self.stored = {}

    async def get(self, key):
        await asyncio.sleep(0)
        if self.faults and self.faults[0] == 'silent':
            return Failure(ResultCode.STORE_UNAVAILABLE, 'no answer')
        return self.stored.get(key) or Missing(key)

    async def put(self, key, value, expected_version):
        await asyncio.sleep(0)
        fault = ''
        if self.faults and key == CURRENT_KEY:
            last = len(self.faults) == 1 and self.faults[0] == 'silent'
            fault = self.faults[0] if last else self.faults.pop(0)
        if fault == 'unsent':
            return Failure(ResultCode.STORE_UNAVAILABLE, 'refused')
        held = self.stored.get(key)
        version = held.version if held else 0
        if version == expected_version and fault != 'silent':
            self.stored[key] = StoredValue(key, value, version + 1)
        if fault:
            run = RunState.UNKNOWN
            return Failure(ResultCode.STORE_UNAVAILABLE, 'lost', run)
        if version != expected_version:
            return Conflict(key, version)
        return version + 1


def build_as(name, count=3):
    """Return a builder of one operator's change."""

    def build(base):
        settings = Settings(addresses=AddressSettings(count=count))
        return next_document(settings, base, Change(name, 'apply', name, 1))

    return build


def run_change(store, name='a', patience_s=0.4):
    """Apply one change and return its result."""
    return asyncio.run(apply_change(store, build_as(name), patience_s))


@pytest.mark.parametrize(
    'faults', [(), ('lost',), ('unsent', 'lost'), ('lost', 'lost', 'lost')]
)
def test_lost_answers_are_settled_by_change_id(faults):
    """A change must not be reported as failed, or be applied twice."""
    store = FakeStore(*faults)
    result = run_change(store, patience_s=5)
    assert isinstance(result, Applied)
    assert store.stored[CURRENT_KEY].version == 1


def test_unanswered_change_is_unconfirmed_or_not_written():
    """Only a change that no call can have written is called not run."""
    unconfirmed = run_change(FakeStore('lost', 'silent'))
    assert unconfirmed.code == ResultCode.APPLY_UNCONFIRMED
    assert unconfirmed.run is RunState.UNKNOWN
    unsent = run_change(FakeStore(*['unsent'] * 50))
    assert unsent.code == ResultCode.STORE_UNAVAILABLE
    assert unsent.run is RunState.NOT_RUN


def test_one_of_two_racing_operators_wins():
    """The loser sees the winner and the difference; nothing is merged."""
    store = FakeStore()

    async def race():
        return await asyncio.gather(
            apply_change(store, build_as('a', 4), 2),
            apply_change(store, build_as('b', 5), 2),
        )

    applied, refused = sorted(
        asyncio.run(race()), key=lambda one: isinstance(one, Refused)
    )
    assert isinstance(applied, Applied)
    assert isinstance(refused, Refused)
    assert refused.found == applied.document
    assert refused.wanted.settings != refused.found.settings


def test_life_of_a_configuration(operator):
    """Each command must leave a revision that the next one can build on."""
    assert operator('show')[0] == 1
    code, applied = operator('apply', EXAMPLE, '--note', 'first')
    assert (code, applied['revision']) == (0, 1)
    assert operator('diff', EXAMPLE) == (0, {'revision': 1, 'difference': []})
    code, drained = operator('drain', 'north-truck-roster')
    assert [one['path'] for one in drained['difference']] == [
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
    """An operator must not overwrite a change that nobody looked at."""
    operator('apply', EXAMPLE)
    code, refused = operator('apply', 'examples/mwangaza', '--base', '0')
    assert code == 3
    assert refused['failure']['code'] == ResultCode.REVISION_CONFLICT
    assert 'services.agent-app.slots' in {
        one['path'] for one in refused['difference']
    }
    assert operator('audit')[1][0]['revision'] == 1


def test_answer_lost_by_the_platform(operator):
    """The command must find out that its write took effect."""
    operator.platform.control({'lost_answers': 1})
    assert operator('apply', EXAMPLE)[0] == 0
    assert len(operator('audit')[1]) == 1


def test_store_outage_has_its_own_exit_code(operator):
    """A script must be able to tell an outage from a refusal."""
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
    """Answer as a daemon that sees these members."""
    members = [
        {'host': host, 'status': 'alive', 'revision': revision}
        for host, revision in revisions_by_host.items()
    ]
    members.append({'host': 'old', 'status': 'dead', 'revision': 0})
    return {'host': 'h1', 'phase': 'ready', 'revision': 1, 'members': members}


def test_wait_names_daemons_that_lag(operator):
    """A change must not count as done while a live daemon lacks it."""
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
    """Daemons of another release may leave out or add fields."""
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
    """A claim without a known outcome must be asked again by its ticket."""
    seen = []

    def answer(request):
        if request.path == '/v1/addresses':
            return {'tickets': ['t1']}
        seen.append(msgspec.json.decode(request.body))
        return {'run': run, 'http_status': status}

    with fake_daemon(answer) as entry:
        operator = Operator(capsys, entry=entry.address)
        found, shown = operator('claim', 'r', '{"lot": 1}', '--rank', 'urgent')
        assert found == code
        assert shown['ticket'] == 't1'
        operator('claim', 'r', '1', '--ticket', 't0')
        assert operator('claim', 'r', '{')[0] == 1
        assert operator('query', 'r', '[]')[0] == code
    assert [one.get('ticket') for one in seen] == ['t1', 't0', None]
    assert seen[0]['body'] == {'lot': 1}
    assert seen[0]['rank'] == 'urgent'
    assert operator('claim', 'r', '1')[0] == 7
    assert operator('query', 'r', '1')[0] == 7


def test_claim_that_one_entry_may_have_run_is_unknown(capsys):
    """A refused connection afterwards must not make it look not run."""
    with closing_daemon() as entry:
        operator = Operator(capsys, entry=f'{entry},127.0.0.1:1')
        code, shown = operator('claim', 'r', '1', '--ticket', 't0')
    assert code == 5
    assert '--ticket t0' in shown['failure']['reason']


def test_check_lists_every_problem(capsys, tmp_path):
    """An operator must not have to correct one problem per run."""
    (tmp_path / '1.toml').write_text('typo = 1\nroutes = 2\n')
    code, shown = Operator(capsys)('check', str(tmp_path))
    assert code == 1
    assert {one['key'] for one in shown['problems']} == {'typo', 'routes'}
    assert main(('check', str(tmp_path)), {}) == 1
    assert 'error 2001 unknown_setting: 1.toml: typo' in capsys.readouterr().out
    assert main(('check', EXAMPLE), {}) == 0
    assert 'the folder is valid' in capsys.readouterr().out


def test_flag_goes_before_environment(capsys):
    """An environment variable must not override what was typed."""
    environment = {'BORAGESPOOL_OUTPUT': 'json'}
    assert main(('check', EXAMPLE), environment) == 0
    assert capsys.readouterr().out.startswith('{')
    assert main(('check', EXAMPLE, '--output', 'table'), environment) == 0
    assert capsys.readouterr().out.startswith('services')
    assert main(('check', EXAMPLE), {'BORAGESPOOL_OUTPUT': 'xml'}) == 2
    for address in ('localhost:1', '127.0.0.1'):
        with pytest.raises(SystemExit, match='2'):
            main(('show', '--store', address), {})


@pytest.mark.parametrize('command', COMMANDS, ids=lambda one: one.name)
def test_help_shows_example_variables_and_exit_codes(command, capsys):
    """Operators and the guide rely on the same help."""
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
