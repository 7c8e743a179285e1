"""Model test of concurrent `apply` commands on a store that loses answers."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from boragespool.revisions import (
    Change,
    WriteAnswer,
    WriteStep,
    decode_document,
    encode_document,
    next_document,
    next_step_after_read,
    next_step_after_write,
)
from boragespool.settings import Settings

OPERATORS = st.integers(0, 2)


class StoreModel:
    """A stored key with compare-and-swap that records all accepted values."""

    def __init__(self):
        """Start without a value."""
        self.accepted = []
        self.delayed = []

    def read(self):
        """Return the stored document and its version."""
        if not self.accepted:
            return None, 0
        return decode_document(self.accepted[-1]), len(self.accepted)

    def put(self, encoded, expected_version):
        """Write if the version is the expected one."""
        if expected_version != len(self.accepted):
            return WriteAnswer.CONFLICT
        self.accepted.append(encoded)
        return WriteAnswer.WRITTEN


class RacingOperators(RuleBasedStateMachine):
    """Three operators apply; each call can fail in every known way."""

    def __init__(self):
        """Start with an empty store and idle operators."""
        super().__init__()
        self.store = StoreModel()
        # Open writes by operator: document, expected version and next step.
        self.writes = {}
        # Reported results by change ID.
        self.results = {}
        self.count = 0

    @rule(operator=OPERATORS)
    def begin(self, operator):
        """Read the base and prepare the next document."""
        if operator in self.writes:
            return
        base, version = self.store.read()
        self.count += 1
        change = Change(f'c{self.count}', 'apply', str(operator), self.count)
        sent = next_document(Settings(), base, change)
        self.writes[operator] = (sent, version, WriteStep.WRITE)

    @rule(
        operator=OPERATORS,
        fault=st.sampled_from(
            ('none', 'none', 'not sent', 'lost', 'answer lost', 'delayed')
        ),
    )
    def proceed(self, operator, fault):
        """Do the next step of an operator's write."""
        if operator not in self.writes:
            return
        sent, version, step = self.writes[operator]
        if step is WriteStep.WRITE:
            step = next_step_after_write(self.write(sent, version, fault))
        elif fault == 'none':
            step = next_step_after_read(sent, self.store.read()[0])
        self.writes[operator] = (sent, version, step)
        if step in {
            WriteStep.APPLIED,
            WriteStep.CONFLICT,
            WriteStep.UNCONFIRMED,
        }:
            self.results[sent.change_id] = step
            del self.writes[operator]

    def write(self, sent, version, fault):
        """Send a write through the fault."""
        encoded = encode_document(sent)
        if fault == 'not sent':
            return WriteAnswer.NOT_SENT
        if fault == 'delayed':
            self.store.delayed.append((encoded, version))
        if fault in {'lost', 'delayed'}:
            return WriteAnswer.LOST
        answer = self.store.put(encoded, version)
        return WriteAnswer.LOST if fault == 'answer lost' else answer

    @precondition(lambda self: self.store.delayed)
    @rule(data=st.data())
    def deliver(self, data):
        """A write of which the operator heard nothing arrives late."""
        last = len(self.store.delayed) - 1
        chosen = self.store.delayed.pop(data.draw(st.integers(0, last)))
        self.store.put(*chosen)

    @rule(operator=OPERATORS)
    def give_up(self, operator):
        """An operator's process ends before its write is settled."""
        self.writes.pop(operator, None)

    @invariant()
    def history_is_linear(self):
        """One winner per base; no revision repeats; nothing is lost."""
        documents = [decode_document(value) for value in self.store.accepted]
        revisions = [document.revision for document in documents]
        assert revisions == list(range(1, len(documents) + 1))
        ids = [document.change_id for document in documents]
        assert len(set(ids)) == len(ids)
        if documents:
            assert [entry.change_id for entry in documents[-1].audit] == ids
        for change_id, step in self.results.items():
            assert (change_id in ids) == (step is WriteStep.APPLIED)


TestRacingOperators = RacingOperators.TestCase
TestRacingOperators.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
)
