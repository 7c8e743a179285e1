"""Operator settings: schema, loading, merging and validation."""

from __future__ import annotations

from boragespool.settings.folder import load_folder, load_folder_or_problems
from boragespool.settings.problems import Problem, describe_problem
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
from boragespool.settings.validation import (
    find_problems,
    validate,
    validate_change,
)

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
    'describe_problem',
    'find_problems',
    'load_folder',
    'load_folder_or_problems',
    'validate',
    'validate_change',
)
