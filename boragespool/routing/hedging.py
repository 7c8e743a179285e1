"""Latency quantiles and the decision to hedge.

Dean and Barroso, "The tail at scale", Communications of the ACM, 2013.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from boragespool.types import Seconds

_MICROSECONDS: Final = 1_000_000
_HIGHEST_S: Final = 60
_DIGITS: Final = 2
#: Samples after which the older histogram is dropped.
_WINDOW_COUNT: Final = 4_096
#: Fewer samples give no usable 0.97 quantile.
_WARM_COUNT: Final = 48
#: One quantile takes 190 us and one sample 1.7 us, so a refresh at every
#: sample would cost a hundred times more than recording.
_REFRESH_COUNT: Final = 256
_PER_CENT: Final = 100


class LatencyTracker:
    """Quantile of recent attempt latencies of one service.

    Parameters
    ----------
    quantile : float
        Share of attempts, 0 to 1, that answer within the tracked latency; 1
        tracks nothing, so that nothing is hedged.
    settings : object
        Settings under which the latencies are measured; its owner replaces
        the tracker when they change.

    Notes
    -----
    An attempt that was cancelled is recorded with the time that it had
    waited. It was already above the quantile, so the quantile stays right
    although the full latency is unknown.
    """

    def __init__(self, quantile: float, settings: object = None) -> None:
        """Start without samples."""
        self.settings = settings
        self.quantile = quantile
        self._current = _histogram()
        self._older: HdrHistogram | None = None
        self._quantile_s: Seconds | None = None

    @property
    def quantile_s(self) -> Seconds | None:
        """The tracked latency in seconds; None before enough samples."""
        return self._quantile_s

    def record(self, latency_s: Seconds) -> None:
        """Add the latency of one attempt."""
        bounded_s = min(max(latency_s, 0), _HIGHEST_S)
        self._current.record_value(int(bounded_s * _MICROSECONDS) + 1)
        count = self._current.total_count
        if count % _REFRESH_COUNT == 0 or self._quantile_s is None:
            self._refresh(count)

    def _refresh(self, count: int) -> None:
        """Read the newer histogram once it holds a quarter of a window."""
        if (
            self.quantile < 1
            and count >= _WARM_COUNT
            and (self._older is None or count >= _WINDOW_COUNT // 4)
        ):
            value_us = self._current.get_value_at_percentile(
                self.quantile * _PER_CENT,
            )
            self._quantile_s = value_us / _MICROSECONDS
        if count >= _WINDOW_COUNT:
            self._older = self._current
            self._current = _histogram()


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _HIGHEST_S * _MICROSECONDS, _DIGITS)


def hedge_delay_s(
    quantile_s: Seconds | None,
    time_left_s: Seconds,
    *,
    suspect: bool,
) -> Seconds | None:
    """Return after how long an unanswered attempt is hedged.

    Parameters
    ----------
    quantile_s : float or None
        Tracked latency of the service.
    time_left_s : float
        Time to the deadline when the attempt is sent.
    suspect : bool
        Whether the request is suspected of crashing backend servers; such a
        request is never hedged, because a hedge could cost a second server.

    Returns
    -------
    float or None
        Seconds; None for no hedge.
    """
    if quantile_s is None or suspect or quantile_s >= time_left_s:
        return None
    return quantile_s
