"""Renders docs/CAPACITY.md: fills the placeholders of the template and builds the tables of sweeps and inputs."""

from __future__ import annotations

import re
from collections.abc import Callable

from capacity_model.assumptions import Number, StormPlan
from capacity_model.errors import CapacityError
from capacity_model.misses import misses_section
from capacity_model.model import Model
from capacity_model.results import Storm, Sweep
from capacity_model.role_table import role_table
from capacity_model.sources import seed_and_runs_text
from capacity_model.text import NOT_MEASURED, format_number, format_quantity, markdown_table

_PLACEHOLDER = re.compile(r"\{\{\s*([^}]*?)\s*\}\}")


def render(template: str, model: Model) -> str:
    """Fills every placeholder of the template. Raises CapacityError, which names the placeholder, if it is unknown."""
    blocks: dict[str, Callable[[], str]] = {
        "generated": _generated_notice,
        "misses": lambda: misses_section(model),
        "sweeps": lambda: sweeps_table(model),
        "refused": lambda: refused_points(model),
        "storms": lambda: storms_table(model),
        "sizes": lambda: numbers_table(model.assumptions.sizes),
        "budgets": lambda: numbers_table(model.assumptions.budgets),
        "assumed": lambda: numbers_table(model.assumptions.assumed),
        "derived": lambda: derived_table(model),
    }
    for role in model.assumptions.roles:
        blocks[f"table.{role.id}"] = lambda role=role: role_table(model, role)  # type: ignore[misc]

    def fill(match: re.Match[str]) -> str:
        name = match.group(1)
        if name in blocks:
            return blocks[name]()
        if name.startswith("value."):
            return _value_text(model, name)
        raise CapacityError(f"unknown placeholder '{name}'")

    return _PLACEHOLDER.sub(fill, template)


def sweeps_table(model: Model) -> str:
    """Returns the table of all measured sweeps, and of the sweeps that assumptions.toml uses but that do not exist."""
    rows = [
        ["sweep", "axis", "full", "largest measured", "limited by", "held fixed", "seed", "plays", "machine"]
    ]
    for sweep in model.results.sweeps.values():
        rows.append(
            [
                f"[{sweep.name}](results/scale/{sweep.name}.json) (`{sweep.experiment}`)",
                sweep.axis,
                format_number(sweep.full),
                format_number(sweep.largest) + _saturation_note(sweep),
                sweep.limited_by,
                ", ".join(f"{name} {format_number(value)}" for name, value in sorted(sweep.fixed.items())),
                str(sweep.seed),
                str(sweep.runs),
                f"{sweep.cores} cores, {format_number(sweep.memory_mb)} MB",
            ]
        )
    required_sweeps = {measured.sweep for measured in model.assumptions.measured.values()}
    for name in sorted(required_sweeps - set(model.results.sweeps)):
        rows.append([name, "", "", NOT_MEASURED, "", "", "", "", ""])
    return markdown_table(rows)


def refused_points(model: Model) -> str:
    """Returns the list of the refused points: the sizes at which the program did not run, with the reasons."""
    lines = [
        f"- {sweep.name}: {format_number(value)} {sweep.unit}: {reason}"
        for sweep in model.results.sweeps.values()
        for value, reason in sorted(sweep.refused.items())
    ]
    return "\n".join(lines) if lines else "No sweep has a point that was refused."


def storms_table(model: Model) -> str:
    """Returns the table of storms: the measured figures, or the assumption if a storm is not measured."""
    rows = [
        [
            "storm",
            "played at",
            "peak bytes/s",
            "peak % of a core",
            "peak queue",
            "all current after, ms",
            "from",
        ]
    ]
    for plan in model.assumptions.storms:
        rows.append(_storm_row(plan, model.results.storms.get(plan.name)))
    return markdown_table(rows)


def numbers_table(numbers: dict[str, Number]) -> str:
    """Returns the table of sizes, budgets or assumed values."""
    rows = [["name", "value", "unit", "about"]]
    rows += [[f"`{name}`", format_number(n.value), n.unit, n.about] for name, n in numbers.items()]
    return markdown_table(rows)


def derived_table(model: Model) -> str:
    """Returns the table of values that formulas compute."""
    rows = [["name", "value", "unit", "worked out as", "about"]]
    for name, derived in model.assumptions.derived.items():
        rows.append(
            [
                f"`{name}`",
                format_quantity(model.look_up(name)),
                derived.unit,
                f"`{derived.formula}`",
                derived.about,
            ]
        )
    return markdown_table(rows)


def _generated_notice() -> str:
    return "<!-- Written by tools/capacity.py from docs/capacity/ and docs/results/scale/: change those, not this. -->"


def _value_text(model: Model, placeholder: str) -> str:
    name = placeholder.removeprefix("value.")
    try:
        value = model.look_up(name)
    except CapacityError as error:
        raise CapacityError(f"unknown placeholder '{placeholder}'") from error
    return format_quantity(value)


def _saturation_note(sweep: Sweep) -> str:
    if not sweep.saturated:
        return ""
    points = ", ".join(format_number(value) for value in sweep.saturated)
    return f" (the measuring tool itself was saturated at {points})"


def _storm_row(plan: StormPlan, storm: Storm | None) -> list[str]:
    if storm is None:
        return [plan.title, "not played", NOT_MEASURED, NOT_MEASURED, NOT_MEASURED, NOT_MEASURED,
                f"**assumed**: {plan.assumed}"]  # fmt: skip
    return [
        plan.title,
        ", ".join(f"{name} {format_number(value)}" for name, value in sorted(storm.fixed.items())),
        format_number(storm.peak_bytes_per_s),
        format_number(storm.peak_cpu_percent),
        format_number(storm.peak_queue),
        format_number(storm.all_current_ms),
        f"[`{storm.experiment}`](results/scale/storms.json), {seed_and_runs_text(storm.seed, storm.runs)}",
    ]
