"""Configuration revisions: documents, adoption, audit trail."""

from __future__ import annotations

from boragespool.revisions.document import AuditEntry, RevisionDocument

__all__ = ('AuditEntry', 'RevisionDocument')
