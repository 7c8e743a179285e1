"""Documents as the JSON text that the store and peers hold."""

from __future__ import annotations

from typing import Final

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.revisions.document import RevisionDocument
from boragespool.settings import validate

#: Largest value of the platform's store.
VALUE_LIMIT_BYTES: Final = 1_000_000

CURRENT_KEY: Final = 'config/current'

_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = msgspec.json.Decoder(RevisionDocument)


def revision_key(revision: int) -> str:
    """Return the store key that keeps a replaced revision."""
    return f'config/revision/{revision}'


def part_key(part: str) -> str:
    """Return the store key of a part, an index or a history."""
    return f'config/part/{part}'


def encode_document(document: RevisionDocument) -> bytes | Failure:
    """Return the JSON of a document.

    Parameters
    ----------
    document : RevisionDocument
        Document to store.

    Returns
    -------
    bytes or Failure
        ``VALUE_TOO_LARGE`` above `VALUE_LIMIT_BYTES`.
    """
    encoded = _ENCODER.encode(document)
    if len(encoded) > VALUE_LIMIT_BYTES:
        return Failure(
            ResultCode.VALUE_TOO_LARGE,
            f'the revision has {len(encoded)!r} bytes; at most '
            f'{VALUE_LIMIT_BYTES!r} are allowed',
        )
    return encoded


def decode_document(encoded: str | bytes) -> RevisionDocument | Failure:
    """Return the validated document in a JSON text.

    Parameters
    ----------
    encoded : str or bytes
        Value of the store, or the body of a `RevisionReply`.

    Returns
    -------
    RevisionDocument or Failure
        ``INVALID_SETTING`` for invalid JSON, a wrong type, a revision below
        1 or settings that break a rule. Unknown keys are ignored, because a
        newer release may write them.
    """
    try:
        document = _DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'the revision document is invalid: {error}',
        )
    if document.revision < 1:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'revision {document.revision!r} is not allowed; allowed: 1 and '
            'above',
        )
    return validate(document.settings) or document
