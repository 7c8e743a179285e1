"""Configuration revisions: documents, adoption, audit trail."""

from __future__ import annotations

from boragespool.revisions.adoption import adopt, is_newer
from boragespool.revisions.building import (
    Change,
    check_change,
    cleared_document,
    newly_cleared,
    next_document,
    undrained,
    with_host_drained,
)
from boragespool.revisions.difference import Difference, difference
from boragespool.revisions.document import (
    AuditEntry,
    Clearance,
    RevisionDocument,
)
from boragespool.revisions.encoding import (
    CURRENT_KEY,
    decode_document,
    encode_document,
    revision_key,
)
from boragespool.revisions.outcome import (
    Step,
    WriteAnswer,
    after_read,
    after_write,
)
from boragespool.revisions.watching import newest_holders, watchers

__all__ = (
    'CURRENT_KEY',
    'AuditEntry',
    'Change',
    'Clearance',
    'Difference',
    'RevisionDocument',
    'Step',
    'WriteAnswer',
    'adopt',
    'after_read',
    'after_write',
    'check_change',
    'cleared_document',
    'decode_document',
    'difference',
    'encode_document',
    'is_newer',
    'newest_holders',
    'newly_cleared',
    'next_document',
    'revision_key',
    'undrained',
    'watchers',
    'with_host_drained',
)
