"""Counters, gauges and histograms."""

from fescueflow.metrics.registry import Metrics

__all__ = ["Metrics"]
