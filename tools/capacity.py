#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from its template, the assumptions and the committed results of scale sweeps.

    tools/capacity.py            writes the page
    tools/capacity.py --check    writes nothing; exit code 1 and the first differing line where the page is not
                                 what the results give

Exit code 2: an input can't be used; the message names it.
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

_DIFFERS = 1
_UNUSABLE = 2


def main(arguments: list[str]) -> int:
    """Runs the tool; returns its exit code."""
    options = _parse(arguments)
    try:
        page = _page(options.root)
    except (CapacityError, OSError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return _UNUSABLE
    target = options.root / "docs" / "CAPACITY.md"
    if options.check:
        return _check(target, page)
    target.write_text(page, encoding="utf-8")
    return 0


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Writes docs/CAPACITY.md from the committed results.")
    parser.add_argument("--check", action="store_true", help="compare instead of writing")
    parser.add_argument(
        "--root", type=Path, default=Path(__file__).resolve().parent.parent, help="of the repository"
    )
    return parser.parse_args(arguments)


def _page(root: Path) -> str:
    template = (root / "docs" / "capacity" / "CAPACITY.template.md").read_text(encoding="utf-8")
    assumptions = read_assumptions(root / "docs" / "capacity" / "assumptions.toml")
    results = read_results(root / "docs" / "results" / "scale")
    return render(template, Model(assumptions, results))


def _check(target: Path, page: str) -> int:
    there = target.read_text(encoding="utf-8") if target.exists() else ""
    difference = first_difference(there, page)
    if difference is None:
        print(f"{target}: as the results give it")
        return 0
    print(f"{target} is not what the results give: {difference}", file=sys.stderr)
    return _DIFFERS


def first_difference(there: str, expected: str) -> str | None:
    """The first line that differs, in words; None where the texts are the same."""
    if there == expected:
        return None
    old, new = there.split("\n"), expected.split("\n")
    for line, (one, other) in enumerate(zip(old, new), start=1):
        if one != other:
            return f"line {line}\n  there:    {one}\n  expected: {other}"
    return f"line {min(len(old), len(new)) + 1}\n  {len(old)} lines there, {len(new)} expected"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
