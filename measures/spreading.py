"""Time and notices until every instance has a new configuration."""

import time
from statistics import mean

from fescueflow.configuration import RelayDissemination
from fescueflow.schema import ConfigurationNotice
from measures.report import Measure
from tests.builders import build_configuration
from tests.configuration.fakes import Fleet
from tests.fakes import wait_until

STRATEGIES = (("broadcast", None), ("relay", RelayDissemination()))
LIMIT_S = 5.0
# One-way network delays are not simulated: datagrams arrive at once.
ZONES = "abc"


def measure_strategy(strategy, size, loss, rounds):
    """Return (seconds until the last instance has it, notices sent) per change."""
    fleet = Fleet(zones=ZONES, size=size, strategy=strategy)
    # A peer's revision is visible only in its heartbeats, which lag. Without them
    # only repeated notices make up for lost ones.
    fleet.heartbeats = False
    times_s, notices = [], []
    try:
        fleet.platform.publish(build_configuration(1))
        fleet.start()
        if not wait_until(lambda: fleet.all_have_revision(1)):
            raise RuntimeError("the first configuration did not spread")
        time.sleep(1.5)
        fleet.network.loss = loss
        for revision in range(2, 2 + rounds):
            sent_before = len(fleet.network.sent)
            changed = build_configuration(revision, zones={"withdrawn": ["a"]})
            started = time.monotonic()
            fleet.platform.publish(changed)
            if not wait_until(lambda r=revision: fleet.all_have_revision(r)):
                raise RuntimeError("a configuration did not spread")
            times_s.append(time.monotonic() - started)
            time.sleep(1.3)
            sent = fleet.network.sent[sent_before:]
            notices.append(
                sum(isinstance(entry[2], ConfigurationNotice) for entry in sent)
            )
    finally:
        fleet.stop()
    return times_s, notices


def measure_spreading(long, seed):
    """Yield times and notices of both strategies, without and with packet loss."""
    for size in (3, 9) if long else (3,):
        for loss in (0.0, 0.3):
            for name, strategy in STRATEGIES:
                times_s, notices = measure_strategy(
                    strategy, size, loss, 8 if long else 2
                )
                label = f"{name}_{len(ZONES) * size}_loss{loss:g}"
                worst = max(times_s)
                yield Measure(f"spread_worst_{label}", worst, "s", seed, LIMIT_S)
                yield Measure(f"spread_mean_{label}", mean(times_s), "s", seed)
                yield Measure(f"spread_notices_{label}", mean(notices), "1", seed)


__all__ = ["measure_spreading"]
