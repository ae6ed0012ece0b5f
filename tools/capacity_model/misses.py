"""The section on misses: compares each figure of the current design with its budget."""

from __future__ import annotations

from capacity_model.assumptions import MissingPart
from capacity_model.model import FigureValue, Model
from capacity_model.role_table import allowed_text, factor_text, total_text
from capacity_model.sources import missing_text, sources_text
from capacity_model.text import markdown_table


def misses_section(model: Model) -> str:
    """Lists the figures over their budget, the missing parts, the unknown figures and the figures within budget.

    The figures over and within their budget are sorted by descending ratio to the budget.
    """
    comparable = [value for value in model.all_figures() if value.figure.built and value.allowed is not None]
    over = [value for value in comparable if _factor_value(value) > 1]
    within = [
        value
        for value in comparable
        if value.complete and value.factor is not None and _factor_value(value) <= 1
    ]
    unknown = [value for value in comparable if value not in over and value not in within]
    over.sort(key=lambda value: (-_factor_value(value), _figure_name(value)))
    within.sort(key=lambda value: (-_factor_value(value), _figure_name(value)))
    parts = [
        "### Over the budget, by factor\n\n" + _over_table(model, over),
        "### Nothing is built, so no factor can be given\n\n"
        + _missing_table(model.assumptions.missing_parts),
        "### Not known, as parts are not measured\n\n" + _unknown_list(model, unknown),
        "### Within the budget\n\n" + _within_list(model, within),
    ]
    return "\n\n".join(parts)


def _factor_value(value: FigureValue) -> float:
    return value.factor.value if value.factor is not None else 0


def _figure_name(value: FigureValue) -> str:
    return f"{value.role.title}: {value.figure.resource}"


def _over_table(model: Model, over: list[FigureValue]) -> str:
    if not over:
        return "Nothing that was measured is over its budget."
    rows = [["", "what", "factor", "at full size", "allowed", "cause", "mechanism", "cost", "from"]]
    for rank, value in enumerate(over, start=1):
        rows.append(
            [
                str(rank),
                _figure_name(value),
                factor_text(value),
                f"{total_text(value)} {value.figure.unit}",
                allowed_text(value),
                value.figure.cause,
                value.figure.mechanism,
                value.figure.cost,
                sources_text(model, value.total)
                + ("" if value.complete else f"; without {_missing_inputs(model, value)}"),
            ]
        )
    return markdown_table(rows)


def _missing_table(parts: list[MissingPart]) -> str:
    rows = [["what", "budget", "cause", "mechanism", "cost"]]
    rows += [[part.title, part.budget, part.cause, part.mechanism, part.cost] for part in parts]
    return markdown_table(rows)


def _unknown_list(model: Model, unknown: list[FigureValue]) -> str:
    lines = [
        f"- {_figure_name(value)}: {_known_share_text(value)}{_missing_inputs(model, value)}"
        for value in unknown
    ]
    return "\n".join(lines) if lines else "Nothing."


def _known_share_text(value: FigureValue) -> str:
    if value.factor is None:
        return ""
    return f"{factor_text(value)} of what is allowed; not measured: "


def _missing_inputs(model: Model, value: FigureValue) -> str:
    missing = {name for term in value.terms for name in term.value.missing}
    if value.allowed is not None:
        missing |= value.allowed.missing
    return "; ".join(missing_text(model, name) for name in sorted(missing))


def _within_list(model: Model, within: list[FigureValue]) -> str:
    lines = [
        f"- {_figure_name(value)}: {factor_text(value)} of what is allowed"
        + (" (**assumed** figures only)" if not value.total.measured else "")
        for value in within
    ]
    return "\n".join(lines) if lines else "Nothing that was measured."
