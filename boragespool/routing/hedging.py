"""Latency quantiles of attempts, and the time after which one is hedged.

A hedge is a second attempt at another replica while the first is unanswered.

Dean and Barroso, "The tail at scale", Communications of the ACM, 2013.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from boragespool.types import Seconds

_MICROSECONDS_PER_S: Final = 1_000_000
_MAX_LATENCY_S: Final = 60
_SIGNIFICANT_DIGITS: Final = 2
#: Number of samples after which a new histogram is started.
_WINDOW_SAMPLE_COUNT: Final = 4_096
#: Fewer samples give no usable 0.97 quantile.
_MIN_SAMPLE_COUNT: Final = 48
#: Samples between two computations of the quantile. One quantile takes 190 us
#: and one sample 1.7 us, so a computation at every sample would cost a hundred
#: times more than recording.
_REFRESH_SAMPLE_COUNT: Final = 256
_PERCENT: Final = 100


class LatencyTracker:
    """Tracks a quantile of the recent attempt latencies of one service.

    Parameters
    ----------
    quantile : float
        Share of the attempts, 0 to 1, that are answered within the tracked
        latency; 1 tracks nothing, so that nothing is hedged.
    settings : object
        Settings under which the latencies are measured. They are not used
        here; the owner replaces the tracker when they change.

    Notes
    -----
    The owner records a cancelled attempt, with the time until it was cancelled,
    only if this is at least the tracked latency. The quantile then stays
    correct although the full latency is unknown.
    """

    def __init__(self, quantile: float, settings: object = None) -> None:
        """Set up empty histograms."""
        self.settings = settings
        self.quantile = quantile
        self._current = _histogram()
        self._previous: HdrHistogram | None = None
        self._quantile_s: Seconds | None = None

    @property
    def quantile_s(self) -> Seconds | None:
        """Tracked latency in seconds; None until there are enough samples."""
        return self._quantile_s

    def record(self, latency_s: Seconds) -> None:
        """Add the latency of one attempt, in seconds."""
        bounded_s = min(max(latency_s, 0), _MAX_LATENCY_S)
        self._current.record_value(int(bounded_s * _MICROSECONDS_PER_S) + 1)
        count = self._current.total_count
        if count % _REFRESH_SAMPLE_COUNT == 0 or self._quantile_s is None:
            self._refresh(count)

    def _refresh(self, count: int) -> None:
        """Compute the quantile from the current histogram.

        After the first window, a histogram is read only once it holds a
        quarter of a window.
        """
        if (
            self.quantile < 1
            and count >= _MIN_SAMPLE_COUNT
            and (self._previous is None or count >= _WINDOW_SAMPLE_COUNT // 4)
        ):
            value_us = self._current.get_value_at_percentile(
                self.quantile * _PERCENT,
            )
            self._quantile_s = value_us / _MICROSECONDS_PER_S
        if count >= _WINDOW_SAMPLE_COUNT:
            self._previous = self._current
            self._current = _histogram()


def _histogram() -> HdrHistogram:
    return HdrHistogram(
        1, _MAX_LATENCY_S * _MICROSECONDS_PER_S, _SIGNIFICANT_DIGITS
    )


def hedge_delay_s(
    quantile_s: Seconds | None,
    time_left_s: Seconds,
    *,
    suspect: bool,
) -> Seconds | None:
    """Return the time after which an unanswered attempt is hedged.

    Parameters
    ----------
    quantile_s : float or None
        Tracked latency of the service, in seconds.
    time_left_s : float
        Time to the deadline in seconds when the attempt is sent.
    suspect : bool
        Whether the request is suspected of crashing backend servers; such a
        request is never hedged, as a hedge could crash a second server.

    Returns
    -------
    float or None
        Seconds; None for no hedge.
    """
    if quantile_s is None or suspect or quantile_s >= time_left_s:
        return None
    return quantile_s
