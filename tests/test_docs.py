"""Pages of the documentation that list codes and events of the code."""

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
    """Guards against a code or event that is added without documentation."""
    text = (DOCS / page).read_text(encoding='utf-8')
    rows = re.findall(r'^\| (\d+) \| ([A-Z_]+) \|', text, re.MULTILINE)
    listed = {name: int(number) for number, name in rows}
    assert listed == {member.name: member.value for member in numbers}


def test_http_statuses_are_as_documented():
    """Guards against documented HTTP statuses that differ from the code."""
    text = (DOCS / 'result-codes.md').read_text(encoding='utf-8')
    rows = re.findall(r'^\| (\d+) \| [A-Z_]+ \| (\d+) \|', text, re.MULTILINE)
    assert rows
    for code, status in rows:
        assert http_status(ResultCode(int(code))) == int(status)
