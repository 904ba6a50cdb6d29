"""Measured values and the lines that report them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Measure:
    """One measured value and its target.

    ``target`` is ``None`` for baselines and for values without a bound. It is a
    lower bound if ``at_least`` is set, an upper bound otherwise.
    """

    name: str
    value: float
    unit: str
    seed: int
    target: float | None = None
    at_least: bool = False

    def passes(self):
        if self.target is None:
            return True
        if self.at_least:
            return self.value >= self.target
        return self.value <= self.target

    def render(self):
        target = "none"
        if self.target is not None:
            target = f"{'>=' if self.at_least else '<='}{self.target:g}"
        verdict = "pass" if self.passes() else "fail"
        return (
            f"measure {self.name} {self.value:.4g} {self.unit} "
            f"target={target} seed={self.seed} {verdict}"
        )
