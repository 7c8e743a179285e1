"""Hooks of behave that set up and tear down each scenario."""

from __future__ import annotations

import contextlib

from features.fleet import Fleet
from tests.processes import Processes


def before_scenario(context, scenario):
    """Create a deployment without processes, and empty scenario state.

    All processes that the scenario starts end with `context.stack`.
    """
    context.stack = contextlib.ExitStack()
    processes = context.stack.enter_context(Processes())
    context.fleet = Fleet(processes)
    context.loads = {}
    context.times_s_by_name = {}


def after_scenario(context, scenario):
    """Stop the load, print the logs of a failure and end all processes."""
    for load in context.loads.values():
        load.stop()
    if scenario.status.name == 'failed':
        context.fleet.print_logs()
    context.stack.close()
