"""Observed service times of each route: moving average and quantiles."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.routing import LatencyTracker

if TYPE_CHECKING:
    from boragespool.types import RouteName, Seconds

#: Mean service time of a route without samples, as a fraction of its target
#: latency.
_INITIAL_MEAN_RATIO: Final = 0.15
#: Weight of a new sample in the moving average of the service time.
_SAMPLE_WEIGHT: Final = 0.02
#: Upper bound of a sample, as a multiple of the mean service time.
_MAX_SAMPLE_RATIO: Final = 4
#: Relative step of the estimate of the service time without load, which
#: tracks the lower quartile of the samples: it falls by three steps after a
#: sample that is not above it and rises by one step otherwise. At 300 samples
#: per second it rises by a sixth in each second of an overload.
_UNLOADED_STEP: Final = 0.0005
_UNLOADED_STEPS_DOWN: Final = 3


class RouteTimes:
    """Service times by route, without the network round trip.

    The mean service time is a moving average of the samples.

    Parameters
    ----------
    hedge_quantile : float
        Quantile of the service times, 0 to 1, that `quantile_s` returns.
    """

    def __init__(self, hedge_quantile: float) -> None:
        """Set up the statistics without samples."""
        self._hedge_quantile = hedge_quantile
        self._trackers_by_route: dict[RouteName, LatencyTracker] = {}
        self._mean_service_s_by_route: dict[RouteName, Seconds] = {}
        self._unloaded_s_by_route: dict[RouteName, Seconds] = {}

    def set_initial(self, route: RouteName, target_s: Seconds) -> None:
        """Set the mean service time of a route without samples.

        Parameters
        ----------
        target_s : float
            Target latency of the route, in seconds.
        """
        self._mean_service_s_by_route.setdefault(
            route,
            target_s * _INITIAL_MEAN_RATIO,
        )

    def mean_service_s(self, route: RouteName) -> Seconds:
        """Return the mean service time of a route, in seconds."""
        return self._mean_service_s_by_route.get(route, 0)

    def unloaded_s(self, route: RouteName) -> Seconds:
        """Return the service time without queueing at a server, in seconds."""
        return self._unloaded_s_by_route.get(route, self.mean_service_s(route))

    def quantile_s(self, route: RouteName) -> Seconds | None:
        """Return the hedging quantile of the service time, in seconds.

        Returns
        -------
        float or None
            None until there are enough samples.
        """
        tracker = self._trackers_by_route.get(route)
        return None if tracker is None else tracker.quantile_s

    def record(self, route: RouteName, service_s: Seconds) -> None:
        """Add the service time of a successful attempt."""
        tracker = self._trackers_by_route.get(route)
        if tracker is None:
            tracker = LatencyTracker(self._hedge_quantile)
            self._trackers_by_route[route] = tracker
        tracker.record(service_s)
        mean_service_s = self.mean_service_s(route)
        step = (
            min(service_s, _MAX_SAMPLE_RATIO * mean_service_s) - mean_service_s
        )
        self._mean_service_s_by_route[route] = (
            mean_service_s + _SAMPLE_WEIGHT * step
        )
        unloaded_s = self.unloaded_s(route)
        step = 1 if service_s > unloaded_s else -_UNLOADED_STEPS_DOWN
        self._unloaded_s_by_route[route] = unloaded_s * (
            1 + step * _UNLOADED_STEP
        )
