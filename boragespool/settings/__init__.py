"""The operators' settings: schema, merging and validation."""

from __future__ import annotations

from boragespool.settings.folder import load_folder, problems_or_settings
from boragespool.settings.problems import Problem, describe
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
from boragespool.settings.validation import check, validate, validate_change

__all__ = (
    'AddressSettings',
    'ClaimSettings',
    'HedgingSettings',
    'Problem',
    'RankSettings',
    'RouteSettings',
    'ServerSettings',
    'ServiceSettings',
    'Settings',
    'check',
    'describe',
    'load_folder',
    'problems_or_settings',
    'validate',
    'validate_change',
)
