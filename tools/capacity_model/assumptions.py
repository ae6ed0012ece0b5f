"""Reading docs/capacity/assumptions.toml: sizes, budgets, assumptions, formulas and what the tables show."""

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
    """A size or a budget that operators gave, or a value that is assumed."""

    value: float
    unit: str
    about: str


@dataclass(frozen=True)
class Derived:
    """A value worked out from others."""

    formula: str
    unit: str
    about: str


@dataclass(frozen=True)
class Measured:
    """Where a measured value stands.

    part is "at_full" (the value at the full size), "growth" (the same without the offset), "per_unit" (growth over
    the full size) or "largest_accepted" (the largest point at which the program ran, up to the first one at which it
    did not; role and figure are empty).
    """

    sweep: str
    part: str = "at_full"
    role: str = ""
    figure: str = ""


@dataclass(frozen=True)
class Term:
    """One summand of a figure."""

    what: str
    formula: str


@dataclass(frozen=True)
class Figure:
    """A row of a role's table, and what to do where it is over what is allowed."""

    resource: str
    unit: str
    terms: list[Term]
    allowed: str = ""  # a formula; empty: nothing is laid down
    cause: str = ""
    mechanism: str = ""
    cost: str = ""
    built: bool = True  # what is only planned is not held against the budget in the list of misses


@dataclass(frozen=True)
class Role:
    """A part of the system with its table."""

    id: str
    title: str
    state: str  # what it holds, in words
    figures: list[Figure]


@dataclass(frozen=True)
class MissingPart:
    """A promise that nothing built carries, so that no factor can be worked out."""

    title: str
    budget: str
    cause: str
    mechanism: str
    cost: str


@dataclass(frozen=True)
class StormPlan:
    """A storm that the page speaks of, with what is assumed of it while it is not played."""

    name: str
    title: str
    assumed: str


@dataclass(frozen=True)
class Assumptions:
    """The whole file."""

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
    """Reads the file; what is missing, unknown or defined twice is an error that names it."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise CapacityError(f"{path}: {error}") from error
    try:
        assumptions = _assumptions(content)
        _require_single_names(assumptions)
        _require_parts(assumptions)
    except CapacityError as error:
        raise CapacityError(f"{path}: {error}") from error
    return assumptions


def _assumptions(content: dict[str, Any]) -> Assumptions:
    known = {item.name for item in dataclasses.fields(Assumptions)}
    for key in content:
        if key not in known:
            raise CapacityError(f"unknown table '{key}'")
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


def _record(kind: type[_Record], values: Any, place: str) -> _Record:
    if not isinstance(values, dict):
        raise CapacityError(f"{place}: should be a table")
    fields = {item.name: item for item in dataclasses.fields(kind)}
    for name in values:
        if name not in fields:
            raise CapacityError(f"{place}: unknown key '{name}'")
    for name, item in fields.items():
        if name not in values and item.default is dataclasses.MISSING:
            raise CapacityError(f"{place}: key '{name}' is missing")
    return kind(**values)


def _table(kind: type[_Record], content: dict[str, Any], name: str) -> dict[str, _Record]:
    rows = content.get(name, {})
    return {key: _record(kind, values, f"{name}.{key}") for key, values in rows.items()}


def _list(kind: type[_Record], content: dict[str, Any], name: str) -> list[_Record]:
    return [_record(kind, row, f"{name}[{i}]") for i, row in enumerate(content.get(name, []))]


def _role(values: dict[str, Any]) -> Role:
    place = f"role '{values.get('id', '')}'"
    figures = [_figure(figure, place) for figure in values.get("figures", [])]
    return _record(Role, {**values, "figures": figures}, place)


def _figure(values: dict[str, Any], place: str) -> Figure:
    place = f"{place}, figure '{values.get('resource', '')}'"
    terms = [_record(Term, term, place) for term in values.get("terms", [])]
    if not terms:
        raise CapacityError(f"{place}: no terms")
    return _record(Figure, {**values, "terms": terms}, place)


def _require_single_names(assumptions: Assumptions) -> None:
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
            raise CapacityError(f"measured.{name}: part should be one of {', '.join(PARTS)}")
