"""Reads docs/capacity/assumptions.toml: sizes, budgets, assumed values, formulas and the rows of the tables."""

from __future__ import annotations

import dataclasses
import itertools
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from capacity_model.errors import CapacityError

PARTS = ("at_full", "growth", "per_unit", "largest_accepted")


@dataclass(frozen=True)
class Number:
    """A size or a budget that operators specify, or an assumed value."""

    value: float
    unit: str
    about: str


@dataclass(frozen=True)
class Derived:
    """A value computed from other values by a formula."""

    formula: str
    unit: str
    about: str


@dataclass(frozen=True)
class Measured:
    """The source of a measured value in the results.

    part selects what the value is:
    "at_full": the fitted value at the full size.
    "growth": the fitted value at the full size without the offset of the fit.
    "per_unit": the growth divided by the full size.
    "largest_accepted": the largest size at which the program runs, as the interval from the largest measured point
    to the smallest refused point. role and figure are empty.
    """

    sweep: str
    part: str = "at_full"
    role: str = ""
    figure: str = ""


@dataclass(frozen=True)
class Term:
    """One summand of a figure. `what` is its label in the table."""

    what: str
    formula: str


@dataclass(frozen=True)
class Figure:
    """A resource in a role's table: the terms of its use, the allowed use, and the remedy if the use exceeds it."""

    resource: str
    unit: str
    terms: list[Term]
    allowed: str = ""  # a formula; empty: no allowance is specified
    cause: str = ""
    mechanism: str = ""
    cost: str = ""
    built: bool = True  # False: planned; the list of misses omits the figure


@dataclass(frozen=True)
class Role:
    """A component of the system and its table."""

    id: str
    title: str
    state: str  # description of the state that the component stores
    figures: list[Figure]


@dataclass(frozen=True)
class MissingPart:
    """A requirement that is not implemented, so that no ratio to its budget can be computed."""

    title: str
    budget: str
    cause: str
    mechanism: str
    cost: str


@dataclass(frozen=True)
class StormPlan:
    """A storm (all gateways call the list service at once) and the assumption to show until it is measured."""

    name: str
    title: str
    assumed: str


@dataclass(frozen=True)
class Assumptions:
    """The content of docs/capacity/assumptions.toml."""

    sizes: dict[str, Number] = field(default_factory=dict)
    budgets: dict[str, Number] = field(default_factory=dict)
    assumed: dict[str, Number] = field(default_factory=dict)
    derived: dict[str, Derived] = field(default_factory=dict)
    measured: dict[str, Measured] = field(default_factory=dict)
    roles: list[Role] = field(default_factory=list)
    missing_parts: list[MissingPart] = field(default_factory=list)
    storms: list[StormPlan] = field(default_factory=list)


_Record = TypeVar("_Record")


def read_assumptions(path: Path) -> Assumptions:
    """Reads the file. Raises CapacityError, which names the key, for a missing, unknown or duplicate key."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise CapacityError(f"{path}: {error}") from error
    try:
        assumptions = _assumptions(content)
        _require_unique_names(assumptions)
        _require_parts(assumptions)
    except CapacityError as error:
        raise CapacityError(f"{path}: {error}") from error
    return assumptions


def _assumptions(content: dict[str, Any]) -> Assumptions:
    known = {item.name for item in dataclasses.fields(Assumptions)}
    for key in content:
        if key not in known:
            raise CapacityError(f"unknown table '{key}'; known tables: {', '.join(sorted(known))}")
    return Assumptions(
        sizes=_table(Number, content, "sizes"),
        budgets=_table(Number, content, "budgets"),
        assumed=_table(Number, content, "assumed"),
        derived=_table(Derived, content, "derived"),
        measured=_table(Measured, content, "measured"),
        roles=[_role(role) for role in content.get("roles", [])],
        missing_parts=_list(MissingPart, content, "missing_parts"),
        storms=_list(StormPlan, content, "storms"),
    )


def _record(record_type: type[_Record], values: Any, location: str) -> _Record:
    if not isinstance(values, dict):
        raise CapacityError(f"{location}: should be a table, but is of type {type(values).__name__}")
    fields = {item.name: item for item in dataclasses.fields(record_type)}
    for name in values:
        if name not in fields:
            raise CapacityError(f"{location}: unknown key '{name}'")
    for name, item in fields.items():
        if name not in values and item.default is dataclasses.MISSING:
            raise CapacityError(f"{location}: key '{name}' is missing")
    return record_type(**values)


def _table(record_type: type[_Record], content: dict[str, Any], name: str) -> dict[str, _Record]:
    rows = content.get(name, {})
    return {key: _record(record_type, values, f"{name}.{key}") for key, values in rows.items()}


def _list(record_type: type[_Record], content: dict[str, Any], name: str) -> list[_Record]:
    return [_record(record_type, row, f"{name}[{i}]") for i, row in enumerate(content.get(name, []))]


def _role(values: dict[str, Any]) -> Role:
    location = f"role '{values.get('id', '')}'"
    figures = [_figure(figure, location) for figure in values.get("figures", [])]
    return _record(Role, {**values, "figures": figures}, location)


def _figure(values: dict[str, Any], location: str) -> Figure:
    location = f"{location}, figure '{values.get('resource', '')}'"
    terms = [_record(Term, term, location) for term in values.get("terms", [])]
    if not terms:
        raise CapacityError(f"{location}: needs at least one entry in 'terms'")
    return _record(Figure, {**values, "terms": terms}, location)


def _require_unique_names(assumptions: Assumptions) -> None:
    seen: set[str] = set()
    for name in itertools.chain(
        assumptions.sizes,
        assumptions.budgets,
        assumptions.assumed,
        assumptions.derived,
        assumptions.measured,
    ):
        if name in seen:
            raise CapacityError(f"the name '{name}' is defined twice")
        seen.add(name)


def _require_parts(assumptions: Assumptions) -> None:
    for name, measured in assumptions.measured.items():
        if measured.part not in PARTS:
            raise CapacityError(
                f"measured.{name}: part should be one of {', '.join(PARTS)}, but is '{measured.part}'"
            )
