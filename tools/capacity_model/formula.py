"""Evaluates formulas over named quantities: numbers, names, `+ - * /` and parentheses."""

from __future__ import annotations

import ast
from collections.abc import Callable

from capacity_model.errors import CapacityError
from capacity_model.quantity import Quantity, combine, exact_quantity

_OPERATORS: dict[type[ast.operator], str] = {ast.Add: "+", ast.Sub: "-", ast.Mult: "*", ast.Div: "/"}


def evaluate(formula: str, look_up: Callable[[str], Quantity]) -> Quantity:
    """Evaluates a formula. `look_up` returns the quantity of a name, or raises CapacityError for an unknown name."""
    try:
        tree = ast.parse(formula, mode="eval")
    except SyntaxError as error:
        raise CapacityError(f"formula '{formula}': {error.msg}") from error
    try:
        return _evaluate(tree.body, look_up)
    except CapacityError as error:
        raise CapacityError(f"formula '{formula}': {error}") from error


def _evaluate(node: ast.expr, look_up: Callable[[str], Quantity]) -> Quantity:
    if isinstance(node, ast.Constant) and isinstance(node.value, (int, float)):
        return exact_quantity(float(node.value))
    if isinstance(node, ast.Name):
        return look_up(node.id)
    if isinstance(node, ast.BinOp) and type(node.op) in _OPERATORS:
        left = _evaluate(node.left, look_up)
        right = _evaluate(node.right, look_up)
        return combine(_OPERATORS[type(node.op)], left, right)
    raise CapacityError("only numbers, names, + - * / and parentheses are allowed")
