"""Time and messages until every instance has a new configuration."""

import time
from statistics import mean

from fescueflow.configuration import RelaySpread
from fescueflow.schema import ConfigurationNotice
from measures.report import Measure
from tests.builders import build_configuration
from tests.configuration.fakes import Fleet
from tests.fakes import wait_until

STRATEGIES = (("broadcast", None), ("relay", RelaySpread()))
LIMIT_S = 5.0
# One-way delays of the users' links are not simulated: datagrams arrive at once.
ZONES = "abc"


def run_spreading(strategy, size, loss, rounds):
    """Return (times to the last instance in seconds, notices per change)."""
    fleet = Fleet(zones=ZONES, size=size, strategy=strategy)
    # Peers show a revision only by heartbeats, which lag; without them the
    # repeats of notices are what repairs losses.
    fleet.heartbeats = False
    times_s, notices = [], []
    try:
        fleet.platform.publish(build_configuration(1))
        fleet.start()
        if not wait_until(lambda: fleet.all_at(1)):
            raise RuntimeError("the first configuration did not spread")
        time.sleep(1.5)
        fleet.network.loss = loss
        for revision in range(2, 2 + rounds):
            sent_before = len(fleet.network.sent)
            changed = build_configuration(revision, zones={"withdrawn": ["a"]})
            started = time.monotonic()
            fleet.platform.publish(changed)
            if not wait_until(lambda r=revision: fleet.all_at(r)):
                raise RuntimeError("a configuration did not spread")
            times_s.append(time.monotonic() - started)
            time.sleep(1.3)
            sent = fleet.network.sent[sent_before:]
            notices.append(sum(isinstance(x[2], ConfigurationNotice) for x in sent))
    finally:
        fleet.stop()
    return times_s, notices


def measure_spreading(long, seed):
    """Yield time and messages of both strategies, without and with loss."""
    for size in (3, 9) if long else (3,):
        for loss in (0.0, 0.3):
            for name, strategy in STRATEGIES:
                times_s, notices = run_spreading(strategy, size, loss, 8 if long else 2)
                label = f"{name}_{len(ZONES) * size}_loss{loss:g}"
                worst = max(times_s)
                yield Measure(f"spread_worst_{label}", worst, "s", seed, LIMIT_S)
                yield Measure(f"spread_mean_{label}", mean(times_s), "s", seed)
                yield Measure(f"spread_notices_{label}", mean(notices), "1", seed)


__all__ = ["measure_spreading"]
