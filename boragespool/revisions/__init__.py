"""Configuration revisions: documents, adoption, audit trail."""

from __future__ import annotations

from boragespool.revisions.assembly import (
    Assembly,
    assemble,
    lacking,
    referenced,
)
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
    part_key,
    revision_key,
)
from boragespool.revisions.manifest import (
    History,
    Manifest,
    Packed,
    Retired,
    decode_history,
    decode_value,
    indexed,
    missing,
    pack,
    without_audit,
)
from boragespool.revisions.outcome import (
    Step,
    WriteAnswer,
    after_read,
    after_write,
)
from boragespool.revisions.parts import PartHash, part_hash, split
from boragespool.revisions.retention import Retention, retain
from boragespool.revisions.watching import newest_holders, watchers

__all__ = (
    'CURRENT_KEY',
    'Assembly',
    'AuditEntry',
    'Change',
    'Clearance',
    'Difference',
    'History',
    'Manifest',
    'Packed',
    'PartHash',
    'Retention',
    'Retired',
    'RevisionDocument',
    'Step',
    'WriteAnswer',
    'after_read',
    'after_write',
    'assemble',
    'check_change',
    'cleared_document',
    'decode_document',
    'decode_history',
    'decode_value',
    'difference',
    'encode_document',
    'indexed',
    'lacking',
    'missing',
    'newest_holders',
    'newly_cleared',
    'next_document',
    'pack',
    'part_hash',
    'part_key',
    'referenced',
    'retain',
    'revision_key',
    'split',
    'undrained',
    'watchers',
    'with_host_drained',
    'without_audit',
)
