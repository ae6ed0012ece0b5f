"""Numbers with an interval and their sources, and arithmetic on them."""

from __future__ import annotations

from dataclasses import dataclass

from capacity_model.errors import CapacityError


@dataclass(frozen=True)
class Quantity:
    """A number with its interval. `missing` names the measurements that it depends on and that do not exist.

    `assumed` and `measured` name the values that it was computed from.
    """

    value: float
    low: float
    high: float
    assumed: frozenset[str] = frozenset()
    measured: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Whether all its inputs are measured or assumed."""
        return not self.missing

    @property
    def exact(self) -> bool:
        """Whether the interval has no width."""
        return self.low == self.high


def exact_quantity(value: float) -> Quantity:
    """Creates a quantity with an interval of no width and without sources."""
    return Quantity(value, value, value)


def unmeasured_quantity(name: str) -> Quantity:
    """Creates the placeholder of a measurement that does not exist."""
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
        raise CapacityError("division by zero")
    return left / right
