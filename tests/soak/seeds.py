"""Seeds for regression runs; add a seed that exposed a fault, with the reason."""

# The 15 s schedules of these two seeds cover 23 of the 24 kinds of faults.
CI_SEEDS = (2, 132)
REGRESSION_SEEDS = (
    *CI_SEEDS,
    3,  # an engine that turned cold without an event kept its warm limit
    5,
    6,
    10,  # an instance that started in a withdrawn zone served callers
)
