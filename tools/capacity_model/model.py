"""Computes the values of docs/CAPACITY.md: looks up names, sums terms and compares figures with their budgets."""

from __future__ import annotations

from dataclasses import dataclass

from capacity_model.assumptions import Assumptions, Figure, Measured, Role, Term
from capacity_model.errors import CapacityError
from capacity_model.formula import evaluate
from capacity_model.quantity import Quantity, combine, exact_quantity, unmeasured_quantity
from capacity_model.results import Fit, Results, Sweep


@dataclass(frozen=True)
class TermValue:
    """A term with its value."""

    term: Term
    value: Quantity


@dataclass(frozen=True)
class FigureValue:
    """A figure with the values of its terms, the sum of the known terms and the allowed value."""

    role: Role
    figure: Figure
    terms: list[TermValue]
    total: Quantity  # sum of the known terms
    allowed: Quantity | None  # None: no limit is specified

    @property
    def complete(self) -> bool:
        """Whether every term is known."""
        return all(term.value.known for term in self.terms)

    @property
    def known(self) -> bool:
        """Whether at least one term is known. The total is then a lower bound."""
        return any(term.value.known for term in self.terms)

    @property
    def factor(self) -> Quantity | None:
        """The ratio of `total` to `allowed`; None if one of them is unknown."""
        if not self.known or self.allowed is None or not self.allowed.known:
            return None
        return combine("/", self.total, self.allowed)


class Model:
    """Budgets, assumptions and results, and the values computed from them."""

    def __init__(self, assumptions: Assumptions, results: Results) -> None:
        self.assumptions = assumptions
        self.results = results
        self._evaluating: list[str] = []
        self._require_same_sizes()

    def look_up(self, name: str) -> Quantity:
        """Returns the quantity of a name in assumptions.toml. Raises CapacityError if it is unknown."""
        assumptions = self.assumptions
        if name in assumptions.sizes:
            return exact_quantity(assumptions.sizes[name].value)
        if name in assumptions.budgets:
            return exact_quantity(assumptions.budgets[name].value)
        if name in assumptions.assumed:
            value = assumptions.assumed[name].value
            return Quantity(value, value, value, assumed=frozenset([name]))
        if name in assumptions.derived:
            return self._derived(name)
        if name in assumptions.measured:
            return self._measured(name)
        raise CapacityError(f"unknown name '{name}'")

    def fit_of(self, measured: Measured) -> tuple[Sweep, Fit] | None:
        """Returns the sweep and the fit of a measured value, or None if one of them does not exist."""
        sweep = self.results.sweeps.get(measured.sweep)
        fit = sweep.fit(measured.role, measured.figure) if sweep else None
        return (sweep, fit) if sweep and fit else None

    def figure_value(self, role: Role, figure: Figure) -> FigureValue:
        """Computes the terms, the total and the allowed value of a figure."""
        terms = [TermValue(term, evaluate(term.formula, self.look_up)) for term in figure.terms]
        total = exact_quantity(0)
        for term in terms:
            if term.value.known:
                total = combine("+", total, term.value)
        allowed = evaluate(figure.allowed, self.look_up) if figure.allowed else None
        return FigureValue(role, figure, terms, total, allowed)

    def all_figures(self) -> list[FigureValue]:
        """Computes every figure of every role, in the order of assumptions.toml."""
        return [self.figure_value(role, figure) for role in self.assumptions.roles for figure in role.figures]

    def _derived(self, name: str) -> Quantity:
        if name in self._evaluating:
            raise CapacityError(f"the definition of '{name}' is circular")
        self._evaluating.append(name)
        try:
            return evaluate(self.assumptions.derived[name].formula, self.look_up)
        finally:
            self._evaluating.pop()

    def _measured(self, name: str) -> Quantity:
        measured = self.assumptions.measured[name]
        if measured.part == "largest_accepted":
            return self._largest_accepted(name, measured)
        found = self.fit_of(measured)
        if found is None:
            return unmeasured_quantity(name)
        return _part_of_fit(name, measured, found[1])

    def _largest_accepted(self, name: str, measured: Measured) -> Quantity:
        sweep = self.results.sweeps.get(measured.sweep)
        if sweep is None:
            return unmeasured_quantity(name)
        refused = sweep.first_refused()
        if refused is None and sweep.largest < sweep.full:
            return unmeasured_quantity(name)  # the machine, not the program, limited the sweep
        high = refused if refused is not None else sweep.largest
        return Quantity(sweep.largest, sweep.largest, high, measured=frozenset([name]))

    def _require_same_sizes(self) -> None:
        for sweep in self.results.sweeps.values():
            size = self.assumptions.sizes.get(sweep.axis)
            if size is not None and size.value != sweep.full:
                raise CapacityError(
                    f"sweep '{sweep.name}': its full size is {sweep.full:g} {sweep.axis}, but assumptions.toml has {size.value:g}"
                )


def _part_of_fit(name: str, measured: Measured, fit: Fit) -> Quantity:
    value = fit.value_at(fit.full)
    low = max(0.0, value - fit.interval_below)
    high = value + fit.interval_above
    source = frozenset([name])
    if measured.part == "at_full":
        return Quantity(value, low, high, measured=source)
    growth = Quantity(
        value - fit.offset,
        max(0.0, low - fit.offset),
        max(0.0, high - fit.offset),
        measured=source,
    )
    if measured.part == "growth" or fit.full == 0:
        return growth
    return combine("/", growth, exact_quantity(fit.full))
