"""Numbers, quantities and tables as Markdown."""

from __future__ import annotations

from capacity_model.quantity import Quantity

NOT_MEASURED = "not measured"
_SIGNIFICANT_DIGITS = 3
_MOST_EXACT = 1_000_000  # whole numbers below it are shown as they are


def number(value: float) -> str:
    """Thousands apart; three significant digits, or all of them for a whole number below a million."""
    if value == int(value) and abs(value) < _MOST_EXACT:
        return f"{int(value):,}"
    rounded = f"{value:.{_SIGNIFICANT_DIGITS}g}"
    return f"{float(rounded):,.0f}" if abs(value) >= 100 else rounded


def quantity(value: Quantity) -> str:
    """The number, and its interval where there is one."""
    if not value.known:
        return NOT_MEASURED
    if number(value.low) == number(value.high):
        return number(value.value)
    return f"{number(value.value)} ({number(value.low)} to {number(value.high)})"


def table(rows: list[list[str]]) -> str:
    """A table of Markdown; the first row is its head."""
    lines = ["| " + " | ".join(row) + " |" for row in rows]
    lines.insert(1, "|" + " --- |" * len(rows[0]))
    return "\n".join(lines)
