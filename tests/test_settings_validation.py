"""Conversion and validation of settings."""

from __future__ import annotations

import dataclasses
import math
import pathlib
import typing

import msgspec
import pytest

from boragespool.results import ResultCode
from boragespool.settings import (
    describe_problem,
    load_folder,
    load_folder_or_problems,
)
from boragespool.settings.folder import SettingsFile, load_files
from boragespool.settings.rules import RULES, is_address
from boragespool.settings.schema import RankSettings, Settings
from boragespool.settings.validation import find_problems, validate
from boragespool.types import Rank

BASE = b"""
[services.find]
slots = 5
connections = 40
[services.find.servers.find-1]
address = '127.0.0.1:9001'
data_centre = 'north'
[routes.search]
service = 'find'
rank = 'routine'
form = 'query'
deadline_ms = 300
"""


def load(*contents):
    """Load files named 1.toml, 2.toml and so on after the base."""
    files = [SettingsFile('0.toml', BASE)]
    for number, content in enumerate(contents, start=1):
        files.append(SettingsFile(f'{number}.toml', content.encode()))
    return load_files(files)


def test_defaults_fill_what_is_left_out():
    """Guards against defaults that are lost when a table is set in part.

    A folder may set one option of one rank only.
    """
    loaded = load('ranks.urgent.queue_limit = 9')
    assert loaded.ranks[Rank.URGENT] == RankSettings(0.2, 1, 9)
    assert loaded.ranks[Rank.DEFERRABLE] == RankSettings(0.1, 0.4)
    assert validate(loaded) is None


@pytest.mark.parametrize(
    ('content', 'key', 'found', 'allowed'),
    [
        ("routes.search.rank = 'urgnt'", 'routes.search.rank', "'urgnt'", "'u"),
        ('routes.search.x = 1', 'routes.search.x', '1', 'canary, canc'),
        ('typo = 1', 'typo', '1', 'services'),
        ('routes.search = {}\nremove = ["routes.search.rank"]', 'routes.search.rank', 'no value', "'urg"),
        ('services.find.slots = "5"', 'services.find.slots', "'5'", '1 to'),
        ('services.find.slots = true', 'services.find.slots', 'True', '1 to'),
        ('services.find.slots = 0', 'services.find.slots', '0', '1 to'),
        ('services.find.slots = 41', 'services.find.connections', '40', '41'),
        ('services = 4', 'services', '4', 'a table'),
        ('routes.search = 4', 'routes.search', '4', 'a table'),
        ("routes.search.service = 'no'", 'routes.search.service', "'no'", 'fi'),
        ('routes.search.deadline_ms = nan', 'routes.search.deadline_ms', 'nan', '0'),
        ('routes.search.deadline_ms = 0', 'routes.search.deadline_ms', '0', '0'),
        ('ranks.slow.floor = 0', 'ranks.slow', "'slow'", "'urgent'"),
        ('ranks.deferrable.floor = 0.5', 'ranks.deferrable.floor', '0.5', '0.4'),
        ('ranks.urgent.floor = 0.9', 'ranks', 'a sum of floors', 'at most 1'),
        ('claims.record_age_s = 1', 'claims.record_age_s', '1', '120'),
        ('hedging.budget_ratio = 0.2', 'hedging.budget_ratio', '0.2', '0.1'),
        ('[routes."A.b"]\nservice="find"\nrank="urgent"\nform="claim"\n'
         'deadline_ms=1', 'routes.A.b', "'A.b'", 'A-Z'),
        ("[services.find.servers.b]\naddress='127.0.0.1:9001'\n"
         "data_centre='north'", 'services.find.servers.b.address',
         "'127.0.0.1:9001'", 'no other'),
        ("services.find.servers.find-1.address = 'localhost:1'",
         'services.find.servers.find-1.address', "'localhost:1'", 'numeric'),
    ],
)  # fmt: skip
def test_rejected_setting_is_named(content, key, found, allowed):
    """Guards against errors without the file, key, value or allowed values."""
    (problem,) = load(content)
    assert problem.key == key
    text = describe_problem(problem)
    assert found in problem.found
    assert allowed in problem.allowed
    assert all(part in text for part in (key, problem.found, problem.allowed))
    expected_file = '0.toml' if key.endswith('connections') else '1.toml'
    if key != 'ranks':
        assert problem.file == expected_file


@pytest.mark.parametrize(
    ('content', 'code', 'part'),
    [
        ('a = ', ResultCode.UNREADABLE_FILE, 'Invalid value'),
        ('a = 1\na = 2', ResultCode.UNREADABLE_FILE, 'overwrite'),
        ("remove = 'a'", ResultCode.INVALID_SETTING, "'a'"),
        ("remove = ['a..b']", ResultCode.INVALID_SETTING, 'a..b'),
        ("remove = ['routes.none']", ResultCode.INVALID_SETTING, 'earlier'),
        ("remove = ['services.find.slots']", ResultCode.INVALID_SETTING, 'slots'),
        ("remove = ['services.find.servers.find-1']",
         ResultCode.INVALID_SETTING, 'at least one'),
    ],
)  # fmt: skip
def test_rejected_file_is_named(content, code, part):
    """Guards against invalid files or removals that are silently skipped."""
    (problem,) = load(content)
    assert problem.code == code
    assert problem.file == '1.toml'
    assert part in describe_problem(problem)


def test_removal_reaches_the_settings():
    """Guards against a removed route that stays in force."""
    assert load("remove = ['routes.search']").routes == {}


def test_folder_is_read_in_name_order(tmp_path):
    """Guards against files that are merged in another order than by name.

    An earlier file would override a later one. Other files than TOML are
    ignored, and undecodable ones are reported.
    """
    assert load_folder(tmp_path / 'none').code == ResultCode.UNREADABLE_FILE
    assert load_folder(tmp_path).code == ResultCode.UNREADABLE_FILE
    (tmp_path / '90.toml').write_text('addresses.count = 9')
    (tmp_path / '10.toml').write_bytes(BASE + b'[addresses]\ncount = 1')
    (tmp_path / '99.txt').write_text('not toml')
    assert load_folder(tmp_path).addresses.count == 9
    (tmp_path / '95.toml').write_bytes(b'a = "\xff"')
    (problem,) = load_folder_or_problems(tmp_path)
    assert problem.file == '95.toml'


def test_every_option_has_a_rule():
    """Guards against an option without a rule, which would accept any value."""
    for kind, rules in RULES.items():
        names = [option.name for option in dataclasses.fields(kind)]
        assert list(rules) == names
        for hint in typing.get_type_hints(kind).values():
            for part in (hint, *typing.get_args(hint)):
                if dataclasses.is_dataclass(part):
                    assert part in RULES


def test_received_settings_are_checked_without_files():
    """Guards against invalid settings from the store or a peer.

    Another process wrote them, so they are validated like files.
    """
    shares = {Rank.URGENT: RankSettings(floor=math.inf)}
    assert validate(Settings(ranks=shares)).code == ResultCode.INVALID_SETTING
    assert (
        'all three'
        in find_problems(Settings(ranks={Rank.URGENT: RankSettings()}))[
            0
        ].allowed
    )
    encoded = msgspec.json.encode(load())
    assert msgspec.json.decode(encoded, type=Settings) == load()


@pytest.mark.parametrize(
    ('value', 'good'),
    [('127.0.0.1:1', True), ('[::1]:65535', True), ('::1:80', False),
     ('127.0.0.1', False), ('127.0.0.1:0', False), ('1.2.3.4:65536', False),
     ('host:80', False), ('127.0.0.1:+80', False), ('[127.0.0.1:80', False)],
)  # fmt: skip
def test_address(value, good):
    """Guards against addresses that fail only when they are used.

    A host name would need a resolver, and a bad port cannot be connected to.
    """
    assert is_address(value) is good


def test_operators_guide_lists_every_option():
    """Guards against an operator guide that differs from the rules in code."""
    guide = pathlib.Path('docs/operators.md').read_text(encoding='utf-8')
    for kind, rules in RULES.items():
        for name, rule in rules.items():
            if kind is not Settings:
                row = f'| `{name}` | '
                ending = f'| {rule.allowed} |'
                assert any(
                    line.startswith(row)
                    and line.endswith(ending)
                    and f' | {rule.unit or "-"} | ' in line
                    for line in guide.splitlines()
                ), (kind, name)
