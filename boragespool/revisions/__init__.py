"""Configuration revisions and how they are built, stored and retained.

A revision is the whole configuration of the fleet at a time. It is stored as
a manifest, which refers to indexes, parts of the settings and a history by
the hash of their text, so that a change rewrites only a few small values.
"""

from __future__ import annotations

from boragespool.revisions.assembly import (
    AssembledRevision,
    assemble,
    hashes_to_fetch,
    referenced_hashes,
)
from boragespool.revisions.building import (
    Change,
    check_change,
    clear_fingerprint,
    newly_cleared_fingerprints,
    next_document,
    undrained_servers,
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
    EncodedRevision,
    History,
    Manifest,
    RetiredPart,
    build_indexes,
    decode_history,
    decode_revision,
    encode_revision,
    missing_hashes,
    without_audit,
)
from boragespool.revisions.outcome import (
    WriteAnswer,
    WriteStep,
    next_step_after_read,
    next_step_after_write,
)
from boragespool.revisions.parts import PartHash, part_hash, split_settings
from boragespool.revisions.retention import RetentionPlan, plan_retention
from boragespool.revisions.watching import (
    choose_watchers,
    hosts_with_newer_revision,
)

__all__ = (
    'CURRENT_KEY',
    'AssembledRevision',
    'AuditEntry',
    'Change',
    'Clearance',
    'Difference',
    'EncodedRevision',
    'History',
    'Manifest',
    'PartHash',
    'RetentionPlan',
    'RetiredPart',
    'RevisionDocument',
    'WriteAnswer',
    'WriteStep',
    'assemble',
    'build_indexes',
    'check_change',
    'choose_watchers',
    'clear_fingerprint',
    'decode_document',
    'decode_history',
    'decode_revision',
    'difference',
    'encode_document',
    'encode_revision',
    'hashes_to_fetch',
    'hosts_with_newer_revision',
    'missing_hashes',
    'newly_cleared_fingerprints',
    'next_document',
    'next_step_after_read',
    'next_step_after_write',
    'part_hash',
    'part_key',
    'plan_retention',
    'referenced_hashes',
    'revision_key',
    'split_settings',
    'undrained_servers',
    'with_host_drained',
    'without_audit',
)
