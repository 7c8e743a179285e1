"""Creation and start order of the controllers of one daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from boragespool.controllers.backend_servers.dispatch import DispatchController
from boragespool.controllers.backend_servers.servers import ServerController
from boragespool.controllers.callers.caller_controllers import CallerControllers
from boragespool.controllers.callers.callers import CallerApi
from boragespool.controllers.callers.overload import OverloadController
from boragespool.controllers.claims.claims import ClaimController
from boragespool.controllers.configuration.configuration import (
    ConfigurationController,
    ConfigurationOptions,
)
from boragespool.controllers.membership.membership import MembershipController
from boragespool.controllers.queries.query import QueryController
from boragespool.daemon.seeds import Seeds
from boragespool.routing import ServerObservations

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from boragespool.controllers.context import Context
    from boragespool.daemon.options import EntryOptions
    from boragespool.store import StoreClient


@dataclass(frozen=True, slots=True)
class Controllers:
    """Controllers that `EntryDaemon` and the graceful stop call directly."""

    membership: MembershipController
    claims: ClaimController
    dispatch: DispatchController
    api: CallerApi


async def start_controllers(
    stack: AsyncExitStack,
    context: Context,
    store: StoreClient,
    options: EntryOptions,
) -> Controllers:
    """Start the controllers, each one after those that it depends on.

    Parameters
    ----------
    stack : AsyncExitStack
        Stops the controllers in reverse order.
    context : Context
        Shared parts of the daemon.
    store : StoreClient
        Client of the platform's store and host list.
    options : EntryOptions
        Settings of the process.
    """
    seeds = await stack.enter_async_context(
        Seeds(
            context,
            store,
            dict(options.peers),
            options.first_read_window_s,
        ),
    )
    membership = await stack.enter_async_context(
        MembershipController(context, seeds, options.membership),
    )
    await stack.enter_async_context(
        ConfigurationController(
            context,
            store,
            ConfigurationOptions(
                first_read_window_s=options.first_read_window_s,
            ),
        ),
    )
    await stack.enter_async_context(ServerController(context))
    dispatch = await stack.enter_async_context(DispatchController(context))
    observations = ServerObservations()
    claims = await stack.enter_async_context(
        ClaimController(context, observations),
    )
    queries = await stack.enter_async_context(
        QueryController(context, observations=observations)
    )
    overload = stack.enter_context(OverloadController(context))
    caller_controllers = CallerControllers(
        queries, claims, membership, dispatch, overload
    )
    api = await stack.enter_async_context(
        CallerApi(context, caller_controllers)
    )
    return Controllers(membership, claims, dispatch, api)
