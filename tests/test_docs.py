"""The pages of the docs agree with the code."""

from __future__ import annotations

import pathlib
import re

import pytest

from boragespool.events import Event
from boragespool.results import ResultCode, http_status

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


@pytest.mark.parametrize(
    ('page', 'numbers'),
    [('result-codes.md', ResultCode), ('events.md', Event)],
)
def test_catalogue_lists_every_number(page, numbers):
    """Operators must find each number of the code in the docs."""
    text = (DOCS / page).read_text(encoding='utf-8')
    rows = re.findall(r'^\| (\d+) \| ([A-Z_]+) \|', text, re.MULTILINE)
    listed = {name: int(number) for number, name in rows}
    assert listed == {member.name: member.value for member in numbers}


def test_http_statuses_are_as_documented():
    """The table's HTTP column must match what callers get."""
    text = (DOCS / 'result-codes.md').read_text(encoding='utf-8')
    rows = re.findall(r'^\| (\d+) \| [A-Z_]+ \| (\d+) \|', text, re.MULTILINE)
    assert rows
    for code, status in rows:
        assert http_status(ResultCode(int(code))) == int(status)
