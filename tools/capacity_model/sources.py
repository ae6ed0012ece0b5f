"""Where a quantity comes from, in words: slopes, sweeps, assumptions, and what is missing."""

from __future__ import annotations

from capacity_model.assumptions import Measured
from capacity_model.model import Model
from capacity_model.quantity import Quantity
from capacity_model.results import Fit, Sweep
from capacity_model.text import NOT_MEASURED, number


def slopes(model: Model, value: Quantity) -> str:
    """The fits that a value was worked out from."""
    texts = []
    for name in sorted(value.measured):
        measured = model.assumptions.measured[name]
        if measured.part == "largest_accepted":
            texts.append(_accepted(model.results.sweeps[measured.sweep]))
        found = model.fit_of(measured)
        if found is not None:
            texts.append(_slope(measured, *found))
    return "; ".join(texts)


def sources(model: Model, value: Quantity) -> str:
    """Experiments with seed and plays, assumed names, and what is not measured."""
    texts = [_sweep_source(model, sweep) for sweep in _sweeps_of(model, value)]
    texts += [f"**{NOT_MEASURED}**: {missing_text(model, name)}" for name in sorted(value.missing)]
    if value.assumed:
        texts.append("**assumed**: " + ", ".join(f"`{name}`" for name in sorted(value.assumed)))
    return "; ".join(texts)


def missing_text(model: Model, name: str) -> str:
    """A measurement that does not exist."""
    measured = model.assumptions.measured[name]
    figure = f"{measured.role} {measured.figure}".strip() or "the largest size that runs"
    return f"{figure}, sweep {measured.sweep}"


def plays_text(seed: int, plays: int) -> str:
    """Seed and number of plays."""
    return f"seed {seed}, {plays} play" + ("s" if plays != 1 else "")


def _accepted(sweep: Sweep) -> str:
    refused = sweep.first_refused()
    ran = f"ran at {number(sweep.largest)} {sweep.axis}"
    return ran if refused is None else f"{ran}, not at {number(refused)}: {sweep.refused[refused]}"


def _slope(measured: Measured, sweep: Sweep, fit: Fit) -> str:
    figure = f"{measured.role} {measured.figure}"
    if fit.form == "constant":
        return f"{figure}: {number(fit.offset)}, constant over {sweep.axis}"
    size = {"linear": sweep.axis, "n log n": f"{sweep.axis} · ln({sweep.axis})", "square": f"{sweep.axis}²"}[
        fit.form
    ]
    start = "" if fit.offset == 0 else f"{number(fit.offset)} + "
    return f"{figure}: {start}{number(fit.slope)} · {size}, residual {fit.residual:.1%}"


def _sweeps_of(model: Model, value: Quantity) -> list[str]:
    return sorted({model.assumptions.measured[name].sweep for name in value.measured})


def _sweep_source(model: Model, name: str) -> str:
    sweep = model.results.sweeps[name]
    text = f"[`{sweep.experiment}`](results/scale/{name}.json), {plays_text(sweep.seed, sweep.plays)}"
    return text + f", extrapolated from {number(sweep.largest)}" if sweep.largest < sweep.full else text
