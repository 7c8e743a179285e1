"""Builder of member records for tests."""

from __future__ import annotations

from boragespool.messages import MemberRecord
from boragespool.types import MemberStatus


def record(
    host: str,
    status: MemberStatus = MemberStatus.ALIVE,
    data_centre: str = 'north',
    **fields,
) -> MemberRecord:
    """Return a member record with defaults for its other fields.

    The region is the first letter of the data centre. The addresses are made
    from the name of the host.
    """
    defaults = {'incarnation': 1, 'beat': 0, 'region': data_centre[0]}
    return MemberRecord(
        host=host,
        status=status,
        data_centre=data_centre,
        peer_address=f'peer-{host}',
        caller_address=host,
        **(defaults | fields),
    )
