"""Starts and ends the processes of each scenario."""

from __future__ import annotations

import contextlib

from features.fleet import Fleet
from tests.processes import Processes


def before_scenario(context, scenario):
    """Prepare an empty deployment; its processes end with the scenario."""
    context.stack = contextlib.ExitStack()
    processes = context.stack.enter_context(Processes())
    context.fleet = Fleet(processes)
    context.loads = {}
    context.times_s_by_name = {}


def after_scenario(context, scenario):
    """Stop the callers, then end all processes."""
    for load in context.loads.values():
        load.stop()
    if scenario.status.name == 'failed':
        context.fleet.print_logs()
    context.stack.close()
