"""Numbers with an interval and their sources, and the arithmetic on them."""

from __future__ import annotations

from dataclasses import dataclass

from capacity_model.errors import CapacityError


@dataclass(frozen=True)
class Quantity:
    """A number with its interval. `missing` names measurements that it needs and that do not exist.

    `assumed` and `measured` name what it was worked out from.
    """

    value: float
    low: float
    high: float
    assumed: frozenset[str] = frozenset()
    measured: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()

    @property
    def known(self) -> bool:
        """Whether everything that it needs was measured or is assumed."""
        return not self.missing

    @property
    def exact(self) -> bool:
        """Whether the interval is the number itself."""
        return self.low == self.high


def exactly(value: float) -> Quantity:
    """A number without a spread and without a source."""
    return Quantity(value, value, value)


def not_measured(name: str) -> Quantity:
    """The place of a measurement that does not exist."""
    return Quantity(0, 0, 0, missing=frozenset([name]))


def combine(operator: str, left: Quantity, right: Quantity) -> Quantity:
    """Interval arithmetic on `+`, `-`, `*` and `/`; the sources are those of both."""
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
