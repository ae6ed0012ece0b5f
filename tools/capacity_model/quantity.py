"""Numbers with an uncertainty interval and the names of their sources, and arithmetic on these numbers."""

from __future__ import annotations

from dataclasses import dataclass

from capacity_model.errors import CapacityError


@dataclass(frozen=True)
class Quantity:
    """A number with its interval and the names of its sources.

    `assumed` and `measured` name the assumed and measured values from which the number is computed. `missing` names
    the measurements that the number needs but that do not exist.
    """

    value: float
    low: float
    high: float
    assumed: frozenset[str] = frozenset()
    measured: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Whether no measurement that the number needs is missing."""
        return not self.missing

    @property
    def exact(self) -> bool:
        """Whether the interval has no width."""
        return self.low == self.high


def exact_quantity(value: float) -> Quantity:
    """Creates a quantity without uncertainty and without sources."""
    return Quantity(value, value, value)


def unmeasured_quantity(name: str) -> Quantity:
    """Creates the quantity for a measurement that does not exist. Its value is 0 and must not be used."""
    return Quantity(0, 0, 0, missing=frozenset([name]))


def combine(operator: str, left: Quantity, right: Quantity) -> Quantity:
    """Applies `+`, `-`, `*` or `/` with interval arithmetic. The result has the sources of both operands."""
    value = _apply(operator, left.value, right.value, left.known and right.known)
    corners = [
        _apply(operator, a, b, left.known and right.known)
        for a in (left.low, left.high)
        for b in (right.low, right.high)
    ]
    return Quantity(
        value,
        min(corners),
        max(corners),
        left.assumed | right.assumed,
        left.measured | right.measured,
        left.missing | right.missing,
    )


def _apply(operator: str, left: float, right: float, known: bool) -> float:
    if not known:
        return 0
    if operator == "+":
        return left + right
    if operator == "-":
        return left - right
    if operator == "*":
        return left * right
    if right == 0:
        raise CapacityError(f"division of {left:g} by zero")
    return left / right
