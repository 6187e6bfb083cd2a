"""Counters, gauges and latency histograms, printed in Prometheus text."""

import collections

from hdrh import histogram

from apricotthread.base import units

LOWEST_US = 1
HIGHEST_US = 3600 * units.US_PER_S
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
PREFIX = 'apricotthread_'


class Metrics:
    """The metrics of one process, by name."""

    def __init__(self) -> None:
        self.count_by_name = collections.Counter()
        self.gauge_by_name: dict[str, float] = {}
        self.histogram_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self.gauge_by_name[name] = value

    def record_s(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, in whole microseconds."""
        durations = self.histogram_by_name.get(name)
        if durations is None:
            durations = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histogram_by_name[name] = durations
        durations.record_value(
            max(LOWEST_US, min(HIGHEST_US, int(seconds * units.US_PER_S)))
        )

    def quantile_s(self, name: str, percent: float) -> float:
        """Return a percentile of a histogram in seconds, 0 if it is empty."""
        durations = self.histogram_by_name.get(name)
        if durations is None:
            return 0.0
        return durations.get_value_at_percentile(percent) / units.US_PER_S

    def render(self) -> str:
        """Return every metric in the Prometheus text format."""
        lines = []
        for name, value in sorted(self.count_by_name.items()):
            lines.append(f'# TYPE {PREFIX}{name}_total counter')
            lines.append(f'{PREFIX}{name}_total {value}')
        for name, value in sorted(self.gauge_by_name.items()):
            lines.append(f'# TYPE {PREFIX}{name} gauge')
            lines.append(f'{PREFIX}{name} {value}')
        for name, durations in sorted(self.histogram_by_name.items()):
            lines.append(f'# TYPE {PREFIX}{name}_seconds summary')
            for percent in QUANTILES:
                value = self.quantile_s(name, percent)
                lines.append(
                    f'{PREFIX}{name}_seconds'
                    f'{{quantile="{percent / 100}"}} {value}'
                )
            total = durations.get_total_count()
            lines.append(f'{PREFIX}{name}_seconds_count {total}')
        return '\n'.join(lines) + '\n'
