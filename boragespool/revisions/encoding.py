"""Store keys of revisions, and JSON encoding of whole documents."""

from __future__ import annotations

from typing import Final

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.revisions.document import RevisionDocument
from boragespool.settings import validate

#: Largest value that the platform's store accepts.
VALUE_LIMIT_BYTES: Final = 1_000_000

#: Store key of the current revision.
CURRENT_KEY: Final = 'config/current'

_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = msgspec.json.Decoder(RevisionDocument)


def revision_key(revision: int) -> str:
    """Return the store key under which a replaced revision is kept."""
    return f'config/revision/{revision}'


def part_key(part: str) -> str:
    """Return the store key of a part, an index or a history."""
    return f'config/part/{part}'


def encode_document(document: RevisionDocument) -> bytes | Failure:
    """Encode a whole document as JSON.

    Parameters
    ----------
    document : RevisionDocument
        Document to encode.

    Returns
    -------
    bytes or Failure
        ``VALUE_TOO_LARGE`` if the text exceeds `VALUE_LIMIT_BYTES`.
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
    """Decode and validate a whole document.

    Parameters
    ----------
    encoded : str or bytes
        JSON from the store, or the document of a `RevisionReply`.

    Returns
    -------
    RevisionDocument or Failure
        ``INVALID_SETTING`` for invalid JSON, a wrong type, a revision below
        1 or invalid settings. Unknown keys are ignored, because a newer
        release may have written them.
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
