"""The operators' settings: schema, merging and validation."""

from __future__ import annotations

from boragespool.settings.schema import (
    AddressSettings,
    ClaimSettings,
    HedgingSettings,
    RankSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
)

__all__ = (
    'AddressSettings',
    'ClaimSettings',
    'HedgingSettings',
    'RankSettings',
    'RouteSettings',
    'ServerSettings',
    'ServiceSettings',
    'Settings',
)
