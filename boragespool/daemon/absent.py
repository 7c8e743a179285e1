"""Stands in for the query controller until it is part of the package."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from boragespool.controllers.requests import QueryAnswer, QueryRequest


class AbsentQueries:
    """Refuses every query."""

    async def answer(self, request: QueryRequest) -> QueryAnswer | Failure:
        """Refuse."""
        return Failure(
            ResultCode.NO_SERVER,
            f'route {request.route!r}: this build answers no queries',
        )
