"""Builds the table of one role, and the texts that this table and the section on misses share."""

from __future__ import annotations

from capacity_model.assumptions import Role
from capacity_model.model import FigureValue, Model, TermValue
from capacity_model.sources import fits_text, sources_text
from capacity_model.text import NOT_MEASURED, format_quantity, markdown_table


def role_table(model: Model, role: Role) -> str:
    """Returns the table of one role at full size: one row per term, and a sum row if there are several terms."""
    rows = [["figure", "part", "at full size", "slope", "from", "allowed", "factor"]]
    rows.append(["state", role.state, "", "", "", "", ""])
    for figure in role.figures:
        value = model.figure_value(role, figure)
        rows += _figure_rows(model, value)
    return markdown_table(rows)


def total_text(value: FigureValue) -> str:
    """Returns the sum of a figure's known terms, with the prefix "at least" if a term is unknown."""
    if not value.known:
        return NOT_MEASURED
    text = format_quantity(value.total)
    return text if value.complete else f"at least {text}"


def allowed_text(value: FigureValue) -> str:
    """Returns the allowed value of a figure."""
    if value.allowed is None:
        return "nothing laid down"
    text = format_quantity(value.allowed)
    return f"{text}, **assumed**" if value.allowed.assumed else text


def factor_text(value: FigureValue) -> str:
    """Returns the ratio of a figure to its allowed value."""
    if value.allowed is None:
        return ""
    if value.factor is None:
        return NOT_MEASURED
    text = format_quantity(value.factor)
    return text if value.complete else f"at least {text}"


def _figure_rows(model: Model, value: FigureValue) -> list[list[str]]:
    figure = value.figure
    title = f"{figure.resource}, {figure.unit}" + ("" if figure.built else " (planned)")
    allowed = allowed_text(value)
    if len(value.terms) == 1:
        term = value.terms[0]
        return [_term_row(model, title, term, allowed, factor_text(value))]
    rows = [_term_row(model, title, value.terms[0], "", "")]
    rows += [_term_row(model, "", term, "", "") for term in value.terms[1:]]
    rows.append(["", "**together**", f"**{total_text(value)}**", "", "", allowed, factor_text(value)])
    return rows


def _term_row(model: Model, title: str, term: TermValue, allowed: str, factor: str) -> list[str]:
    return [
        title,
        term.term.what,
        format_quantity(term.value),
        fits_text(model, term.value),
        sources_text(model, term.value),
        allowed,
        factor,
    ]
