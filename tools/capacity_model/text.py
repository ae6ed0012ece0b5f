"""Formats numbers, quantities and tables as Markdown."""

from __future__ import annotations

from capacity_model.quantity import Quantity

NOT_MEASURED = "not measured"
_SIGNIFICANT_DIGITS = 3
_MAX_EXACT_INTEGER = 1_000_000  # integers below this value are shown with all digits


def format_number(value: float) -> str:
    """Formats a number with thousands separators.

    Shows integers below a million with all digits and other numbers with three significant digits.
    """
    if value == int(value) and abs(value) < _MAX_EXACT_INTEGER:
        return f"{int(value):,}"
    rounded = f"{value:.{_SIGNIFICANT_DIGITS}g}"
    return f"{float(rounded):,.0f}" if abs(value) >= 100 else rounded


def format_quantity(value: Quantity) -> str:
    """Formats the value, and its interval if the two ends differ when formatted."""
    if not value.known:
        return NOT_MEASURED
    if format_number(value.low) == format_number(value.high):
        return format_number(value.value)
    return f"{format_number(value.value)} ({format_number(value.low)} to {format_number(value.high)})"


def markdown_table(rows: list[list[str]]) -> str:
    """Formats a Markdown table. The first row is its header."""
    lines = ["| " + " | ".join(row) + " |" for row in rows]
    lines.insert(1, "|" + " --- |" * len(rows[0]))
    return "\n".join(lines)
