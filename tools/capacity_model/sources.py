"""Describes the sources of a quantity: fits, sweeps, assumed values and missing measurements."""

from __future__ import annotations

from capacity_model.assumptions import Measured
from capacity_model.model import Model
from capacity_model.quantity import Quantity
from capacity_model.results import Fit, Sweep
from capacity_model.text import NOT_MEASURED, format_number


def fits_text(model: Model, value: Quantity) -> str:
    """Describes the fits that a value was computed from."""
    texts = []
    for name in sorted(value.measured):
        measured = model.assumptions.measured[name]
        if measured.part == "largest_accepted":
            texts.append(_largest_accepted_text(model.results.sweeps[measured.sweep]))
        found = model.fit_of(measured)
        if found is not None:
            texts.append(_fit_text(measured, *found))
    return "; ".join(texts)


def sources_text(model: Model, value: Quantity) -> str:
    """Describes the experiments with their seeds and runs, the assumed values and the missing measurements."""
    texts = [_sweep_source_text(model, sweep) for sweep in _sweep_names(model, value)]
    texts += [f"**{NOT_MEASURED}**: {missing_text(model, name)}" for name in sorted(value.missing)]
    if value.assumed:
        texts.append("**assumed**: " + ", ".join(f"`{name}`" for name in sorted(value.assumed)))
    return "; ".join(texts)


def missing_text(model: Model, name: str) -> str:
    """Describes the measurement `name`, which does not exist."""
    measured = model.assumptions.measured[name]
    figure = f"{measured.role} {measured.figure}".strip() or "the largest size that runs"
    return f"{figure}, sweep {measured.sweep}"


def seed_and_runs_text(seed: int, runs: int) -> str:
    """Describes the seed and the number of runs, which the page calls plays."""
    return f"seed {seed}, {runs} play" + ("s" if runs != 1 else "")


def _largest_accepted_text(sweep: Sweep) -> str:
    refused = sweep.first_refused()
    ran = f"ran at {format_number(sweep.largest)} {sweep.axis}"
    return ran if refused is None else f"{ran}, not at {format_number(refused)}: {sweep.refused[refused]}"


def _fit_text(measured: Measured, sweep: Sweep, fit: Fit) -> str:
    figure = f"{measured.role} {measured.figure}"
    if fit.growth_model == "constant":
        return f"{figure}: {format_number(fit.offset)}, constant over {sweep.axis}"
    size = {"linear": sweep.axis, "n log n": f"{sweep.axis} · ln({sweep.axis})", "square": f"{sweep.axis}²"}[
        fit.growth_model
    ]
    start = "" if fit.offset == 0 else f"{format_number(fit.offset)} + "
    return f"{figure}: {start}{format_number(fit.slope)} · {size}, residual {fit.residual:.1%}"


def _sweep_names(model: Model, value: Quantity) -> list[str]:
    return sorted({model.assumptions.measured[name].sweep for name in value.measured})


def _sweep_source_text(model: Model, name: str) -> str:
    sweep = model.results.sweeps[name]
    text = f"[`{sweep.experiment}`](results/scale/{name}.json), {seed_and_runs_text(sweep.seed, sweep.runs)}"
    return (
        text + f", extrapolated from {format_number(sweep.largest)}" if sweep.largest < sweep.full else text
    )
