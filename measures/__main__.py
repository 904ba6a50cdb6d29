"""Run the measures and print one line for each."""

import argparse
import sys
import time

from measures.cost import measure_cost
from measures.leaving import measure_leaving
from measures.listing import measure_listing
from measures.open_streams import measure_open_streams
from measures.reuse import measure_reuse
from measures.service import measure_lookups, measure_overload, measure_zone_change
from measures.spreading import measure_spreading
from measures.traffic import measure_traffic

SEED = 1


def collect(long, seed):
    """Yield all measures; the long run adds seeds, fleet sizes and faults."""
    for run_seed in range(seed, seed + (5 if long else 1)):
        yield from measure_reuse(run_seed)
        yield from measure_leaving(run_seed)
    yield from measure_listing(seed)
    yield from measure_traffic(long, seed)
    yield from measure_spreading(long, seed)
    if long:
        yield from measure_cost(long, seed)
        yield from measure_open_streams(seed)
        for delay_s in (0.003, 0.005):
            yield from measure_zone_change(delay_s, seed)
        yield from measure_overload(seed)
        yield from measure_lookups(seed)


def main():
    parser = argparse.ArgumentParser(prog="measures")
    parser.add_argument("--long", action="store_true")
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args()
    started = time.monotonic()
    failed = 0
    for measure in collect(options.long, options.seed):
        print(measure.render(), flush=True)
        failed += not measure.passes()
    print(f"{failed} measures failed, {time.monotonic() - started:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
