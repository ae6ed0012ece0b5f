#!/usr/bin/env python3
"""Generates docs/CAPACITY.md from its template, docs/capacity/assumptions.toml and docs/results/scale/.

    tools/capacity.py            writes the page
    tools/capacity.py --check    writes nothing; if the page is not up to date, prints the first line that
                                 differs and exits with code 1

Exits with code 2 if an input file is invalid. The message names the file, the name or the field.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from capacity_model.assumptions import read_assumptions
from capacity_model.errors import CapacityError
from capacity_model.model import Model
from capacity_model.page import render
from capacity_model.results import read_results

_EXIT_CODE_OUTDATED = 1
_EXIT_CODE_INVALID_INPUT = 2


def main(arguments: list[str]) -> int:
    """Runs the tool and returns its exit code."""
    options = _parse_arguments(arguments)
    try:
        page = _render_page(options.root)
    except (CapacityError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return _EXIT_CODE_INVALID_INPUT
    target = options.root / "docs" / "CAPACITY.md"
    if options.check:
        return _check_page(target, page)
    target.write_text(page, encoding="utf-8")
    return 0


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description="Generates docs/CAPACITY.md from docs/capacity/ and docs/results/scale/."
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="compare docs/CAPACITY.md with the page generated from the results, and write nothing",
    )
    parser.add_argument(
        "--root",
        type=Path,
        default=Path(__file__).resolve().parent.parent,
        help="root folder of the repository",
    )
    return parser.parse_args(arguments)


def _render_page(root: Path) -> str:
    template = (root / "docs" / "capacity" / "CAPACITY.template.md").read_text(encoding="utf-8")
    assumptions = read_assumptions(root / "docs" / "capacity" / "assumptions.toml")
    results = read_results(root / "docs" / "results" / "scale")
    return render(template, Model(assumptions, results))


def _check_page(target: Path, page: str) -> int:
    current = target.read_text(encoding="utf-8") if target.exists() else ""
    difference = first_difference(current, page)
    if difference is None:
        print(f"{target}: up to date")
        return 0
    print(f"{target} is not up to date: {difference}", file=sys.stderr)
    return _EXIT_CODE_OUTDATED


def first_difference(current: str, expected: str) -> str | None:
    """Returns a description of the first line that differs, or None if the texts are equal."""
    if current == expected:
        return None
    current_lines, expected_lines = current.split("\n"), expected.split("\n")
    for line, (current_line, expected_line) in enumerate(zip(current_lines, expected_lines), start=1):
        if current_line != expected_line:
            return f"line {line}\n  current:  {current_line}\n  expected: {expected_line}"
    line = min(len(current_lines), len(expected_lines)) + 1
    return f"line {line}\n  the page has {len(current_lines)} lines; {len(expected_lines)} lines are expected"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
