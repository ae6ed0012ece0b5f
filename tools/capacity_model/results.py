"""Reads the results of scale sweeps and storms (docs/results/scale/*.json)."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from capacity_model.errors import CapacityError

STORMS_FILE = "storms.json"
_LOAD_ROLE = "load"  # the role of the measuring tool in the results
_SATURATED_FIGURE = "saturated"
_BASIS_FUNCTIONS: dict[str, Callable[[float], float]] = {
    "constant": lambda x: 0.0,
    "linear": lambda x: x,
    "n log n": lambda x: x * math.log(x) if x > 1 else 0.0,
    "square": lambda x: x * x,
}


@dataclass(frozen=True)
class Fit:
    """The curve fitted to one figure of one role, and its 95% interval at the full size of the sweep."""

    role: str
    figure: str
    growth_model: str
    offset: float
    slope: float
    residual: float
    full: float
    interval_below: float  # distance from the value at the full size to the lower end of the interval
    interval_above: float  # distance from the value at the full size to the upper end

    def value_at(self, size: float) -> float:
        """Returns the fitted value at a size, which is in the unit of the sweep's axis."""
        return self.offset + self.slope * _BASIS_FUNCTIONS[self.growth_model](size)


@dataclass(frozen=True)
class Sweep:
    """One result file: measurements at several values of one size (the axis), with all other sizes fixed."""

    name: str
    experiment: str
    axis: str
    unit: str
    full: float
    largest: float
    limited_by: str
    seed: int
    runs: int
    revision: str
    cores: int
    memory_mb: float
    fixed: dict[str, float]
    refused: dict[float, str]
    saturated: list[float]  # points at which the measuring tool was the bottleneck
    fits: list[Fit]

    def fit(self, role: str, figure: str) -> Fit | None:
        """Returns the fit of a role's figure, or None if there is no fit."""
        return next((f for f in self.fits if (f.role, f.figure) == (role, figure)), None)

    def first_refused(self) -> float | None:
        """Returns the smallest refused size above the largest measured size, or None if there is none."""
        return min((value for value in self.refused if value > self.largest), default=None)


@dataclass(frozen=True)
class Storm:
    """The load of one storm, in which all gateways call the list service at once."""

    name: str
    experiment: str
    seed: int
    runs: int
    fixed: dict[str, float]
    peak_bytes_per_s: float
    peak_cpu_percent: float
    peak_queue: float
    all_current_ms: float


@dataclass(frozen=True)
class Results:
    """All measured results, by the names of the sweeps and storms."""

    sweeps: dict[str, Sweep]
    storms: dict[str, Storm]


def read_results(folder: Path) -> Results:
    """Reads all result files of the folder. Returns no results if the folder does not exist."""
    sweeps: dict[str, Sweep] = {}
    storms: dict[str, Storm] = {}
    for path in sorted(folder.glob("*.json")):
        content = _read_json(path)
        try:
            if path.name == STORMS_FILE:
                storms = {storm["storm"]: _storm(storm) for storm in content["storms"]}
            else:
                sweep = _sweep(content)
                sweeps[sweep.name] = sweep
        except (KeyError, TypeError, AttributeError) as error:
            raise CapacityError(f"{path}: not a valid sweep result: {error!r}") from error
    return Results(sweeps, storms)


def _read_json(path: Path) -> Any:
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise CapacityError(f"{path}: {error}") from error


def _fit(fit: dict[str, Any]) -> Fit:
    if fit["form"] not in _BASIS_FUNCTIONS:
        raise CapacityError(f"fit of {fit['role']} {fit['figure']}: unknown growth model '{fit['form']}'")
    at_full = fit["at_full"]
    return Fit(
        role=fit["role"],
        figure=fit["figure"],
        growth_model=fit["form"],
        offset=fit["offset"],
        slope=fit["slope"],
        residual=fit["residual"],
        full=at_full["x"],
        interval_below=at_full["value"] - at_full["low"],
        interval_above=at_full["high"] - at_full["value"],
    )


def _is_saturated(point: dict[str, Any]) -> bool:
    return any(point["roles"].get(_LOAD_ROLE, {}).get(_SATURATED_FIGURE, []))


def _sweep(content: dict[str, Any]) -> Sweep:
    return Sweep(
        name=content["name"],
        experiment=content["experiment"],
        axis=content["axis"],
        unit=content["unit"],
        full=content["full"],
        largest=content["largest"],
        limited_by=content["limited_by"],
        seed=content["seed"],
        runs=content["plays"],
        revision=content["revision"],
        cores=content["machine"]["cores"],
        memory_mb=content["machine"]["memory_mb"],
        fixed=content["fixed"],
        refused={point["value"]: point["why"] for point in content["refused"]},
        saturated=[point["value"] for point in content["points"] if _is_saturated(point)],
        fits=[_fit(fit) for fit in content["fits"]],
    )


def _storm(content: dict[str, Any]) -> Storm:
    return Storm(
        name=content["storm"],
        experiment=content["experiment"],
        seed=content["seed"],
        runs=content["plays"],
        fixed=content["fixed"],
        peak_bytes_per_s=content["peak_bytes_per_s"],
        peak_cpu_percent=content["peak_cpu_percent"],
        peak_queue=content["peak_queue"],
        all_current_ms=content["all_current_ms"],
    )
