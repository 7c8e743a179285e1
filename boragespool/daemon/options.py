"""Settings of a daemon process, and the flags that define them."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from boragespool.daemon import parsing
from boragespool.http import HttpLimits
from boragespool.membership import MembershipOptions
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import (
        Address,
        DataCentre,
        HostName,
        Region,
        Seconds,
    )

ENVIRONMENT_PREFIX: Final = 'BORAGESPOOL_'


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Limits of the links to peers; see `boragespool.peers.PeerOptions`."""

    flush_interval_s: Seconds = 0.001
    frame_size_bytes: int = 262_144
    queue_count: int = 20_000
    probe_interval_s: Seconds = 0.5
    silence_timeout_s: Seconds = 1.5
    idle_timeout_s: Seconds = 10


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """Validated settings of one daemon process.

    Attributes
    ----------
    caller_address, peer_address : str
        ``ip:port`` on which the daemon listens for callers and for peers.
    platform_address : str
        ``ip:port`` of the platform's store and host list.
    peers : tuple of (str, str)
        Host and peer address of daemons to join, in addition to those in the
        platform's host list.
    store_timeout_s : float
        Timeout of one call to the platform, in seconds.
    first_read_window_s : float
        The first read of the host list and, while no peer has a revision, of
        the configuration is delayed by a random part of this time, in
        seconds.
    stop_timeout_s : float
        Maximum duration of a graceful stop, in seconds.
    """

    host: HostName
    data_centre: DataCentre
    region: Region
    caller_address: Address
    peer_address: Address
    platform_address: Address
    peers: tuple[tuple[HostName, Address], ...] = ()
    log_level: str = 'INFO'
    store_timeout_s: Seconds = 1
    first_read_window_s: Seconds = 1
    stop_timeout_s: Seconds = 60
    http: HttpLimits = field(default_factory=HttpLimits)
    links: PeerLimits = field(default_factory=PeerLimits)
    membership: MembershipOptions = field(default_factory=MembershipOptions)


def _setting(
    value_type: parsing.ValueType, default: object, help_text: str
) -> parsing.Setting:
    return parsing.Setting(value_type, str(default), help_text)


_LINKS: Final = PeerLimits()
_HTTP: Final = HttpLimits()
_MEMBERSHIP: Final = MembershipOptions()

_PROCESS_SETTINGS: Final = MappingProxyType(
    {
        'host': parsing.Setting(parsing.NAME, None, 'Name of this host.'),
        'data_centre': parsing.Setting(
            parsing.NAME, None, 'Data centre of this host.'
        ),
        'region': parsing.Setting(
            parsing.NAME, None, 'Region of the data centre.'
        ),
        'caller_address': parsing.Setting(
            parsing.ADDRESS,
            None,
            'Address to listen on for callers; it is published to them.',
        ),
        'peer_address': parsing.Setting(
            parsing.ADDRESS,
            None,
            'Address to listen on for peers; it is published to them.',
        ),
        'platform_address': parsing.Setting(
            parsing.ADDRESS,
            None,
            "Address of the platform's store and host list.",
        ),
        'peers': _setting(
            parsing.PEERS, '', 'Host and peer address of daemons to join.'
        ),
        'log_level': _setting(
            parsing.LEVEL, 'INFO', 'Minimum level of log messages.'
        ),
        'store_timeout_s': _setting(
            parsing.number(0.05, 60),
            1,
            'Timeout of one call to the platform, in seconds.',
        ),
        'first_read_window_s': _setting(
            parsing.number(0, 60),
            1,
            'Time over which first reads of the store are spread, in seconds.',
        ),
        'stop_timeout_s': _setting(
            parsing.number(0, 3_600),
            60,
            'Maximum duration of a graceful stop, in seconds.',
        ),
    },
)
_HTTP_SETTINGS: Final = MappingProxyType(
    {
        'header_size_bytes': _setting(
            parsing.integer(256, 1_048_576),
            _HTTP.header_size_bytes,
            'Maximum size of the head of a caller request, in bytes.',
        ),
        'body_size_bytes': _setting(
            parsing.integer(1, 67_108_864),
            _HTTP.body_size_bytes,
            'Maximum size of the body of a caller request, in bytes.',
        ),
        'connection_count': _setting(
            parsing.integer(1, 100_000),
            _HTTP.connection_count,
            'Maximum number of open connections of callers.',
        ),
        'read_timeout_s': _setting(
            parsing.number(0.05, 300),
            _HTTP.read_timeout_s,
            'Maximum time from the first to the last byte of a request, in '
            'seconds.',
        ),
        'idle_timeout_s': _setting(
            parsing.number(0.05, 3_600),
            _HTTP.idle_timeout_s,
            'Maximum time that a connection waits for a request, in seconds.',
        ),
    },
)
_LINK_SETTINGS: Final = MappingProxyType(
    {
        'flush_interval_s': _setting(
            parsing.number(0, 1),
            _LINKS.flush_interval_s,
            'Minimum time between two frames to one peer, in seconds.',
        ),
        'frame_size_bytes': _setting(
            parsing.integer(1_024, 16_777_216),
            _LINKS.frame_size_bytes,
            'Size at which a frame is closed and the next one is started, in '
            'bytes.',
        ),
        'queue_count': _setting(
            parsing.integer(16, 1_000_000),
            _LINKS.queue_count,
            'Maximum number of messages that wait for one peer.',
        ),
        'probe_interval_s': _setting(
            parsing.number(0.05, 60),
            _LINKS.probe_interval_s,
            'Time between two probes of a link in use, in seconds.',
        ),
        'silence_timeout_s': _setting(
            parsing.number(0.1, 60),
            _LINKS.silence_timeout_s,
            'Time without an answer after which a link is reconnected, in '
            'seconds.',
        ),
        'idle_timeout_s': _setting(
            parsing.number(1, 3_600),
            _LINKS.idle_timeout_s,
            'Time without a message after which a link is closed, in seconds.',
        ),
    },
)
_MEMBERSHIP_SETTINGS: Final = MappingProxyType(
    {
        'ping_interval_s': _setting(
            parsing.number(0.05, 60),
            _MEMBERSHIP.ping_interval_s,
            'Time between two pings of this daemon, in seconds.',
        ),
        'ping_timeout_s': _setting(
            parsing.number(0.02, 30),
            _MEMBERSHIP.ping_timeout_s,
            'Timeout of a ping, in seconds.',
        ),
        'suspicion_s': _setting(
            parsing.number(0.1, 300),
            _MEMBERSHIP.suspicion_s,
            'Time in which a suspected member can refute the suspicion, for '
            'up to ten members, in seconds.',
        ),
        'dead_keep_s': _setting(
            parsing.number(5, 86_400),
            _MEMBERSHIP.dead_keep_s,
            'Time for which the record of a dead member is kept, in seconds.',
        ),
        'seed_interval_s': _setting(
            parsing.number(0.1, 3_600),
            _MEMBERSHIP.seed_interval_s,
            'Time between two pings of seeds that are not live members, in '
            'seconds.',
        ),
        'record_count': _setting(
            parsing.integer(3, 64),
            _MEMBERSHIP.record_count,
            'Maximum number of member records in one message.',
        ),
        'remote_count': _setting(
            parsing.integer(1, 1_000),
            _MEMBERSHIP.remote_count,
            'Number of members known of each other data centre.',
        ),
        'health_limit': _setting(
            parsing.integer(0, 100),
            _MEMBERSHIP.health_limit,
            'Maximum health score; a higher score makes a slow daemon wait '
            'longer before it suspects members, and 0 keeps the wait fixed.',
        ),
    },
)

#: Groups of settings with the prefix of their flags.
GROUPS: Final = (
    ('', _PROCESS_SETTINGS),
    ('http_', _HTTP_SETTINGS),
    ('link_', _LINK_SETTINGS),
    ('member_', _MEMBERSHIP_SETTINGS),
)


def all_settings() -> Mapping[str, parsing.Setting]:
    """Return all settings by flag name."""
    return {
        prefix + name: setting
        for prefix, group in GROUPS
        for name, setting in group.items()
    }


def parse_options(given: Mapping[str, str]) -> EntryOptions | Failure:
    """Parse and validate the settings.

    Parameters
    ----------
    given : mapping of str to str
        Texts by flag name; a missing setting gets its default.

    Returns
    -------
    EntryOptions or Failure
        The failure names the first invalid setting, its value and the
        allowed values.
    """
    groups: list[dict[str, Any]] = []
    for prefix, settings in GROUPS:
        parsed = _parse_group(prefix, settings, given)
        if isinstance(parsed, Failure):
            return parsed
        groups.append(parsed)
    process, http, links, membership = groups
    return EntryOptions(
        **process,
        http=HttpLimits(**http),
        links=PeerLimits(**links),
        membership=MembershipOptions(**membership),
    )


def _parse_group(
    prefix: str,
    settings: Mapping[str, parsing.Setting],
    given: Mapping[str, str],
) -> dict[str, Any] | Failure:
    parsed: dict[str, Any] = {}
    for name, setting in settings.items():
        text = given.get(prefix + name, setting.default)
        parsed[name] = None if text is None else setting.value_type.parse(text)
        if parsed[name] is None:
            return _invalid_setting(prefix + name, text, setting)
    return parsed


def _invalid_setting(
    name: str, text: str | None, setting: parsing.Setting
) -> Failure:
    problem = 'is not set' if text is None else f'is {text!r}'
    allowed = setting.value_type.allowed
    return Failure(
        ResultCode.INVALID_SETTING,
        f'setting {name!r} {problem}; allowed: {allowed}',
    )
