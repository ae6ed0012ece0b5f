"""Tests of tools/capacity.py with the synthetic results in tests/fixtures/capacity."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

_ROOT = Path(__file__).resolve().parent.parent
_FIXTURE = _ROOT / "tests" / "fixtures" / "capacity"
_TOOL = _ROOT / "tools" / "capacity.py"


class CapacityTest(unittest.TestCase):
    """Runs the tool on a copy of the fixture, which each test can change."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name) / "copy"
        shutil.copytree(_FIXTURE, self.root)

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-B", str(_TOOL), "--root", str(self.root), *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def write_page(self) -> str:
        completed = self.run_tool()
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return (self.root / "docs" / "CAPACITY.md").read_text(encoding="utf-8")

    def assert_invalid_input(self, text: str) -> None:
        completed = self.run_tool()
        self.assertEqual(completed.returncode, 2, completed.stdout)
        self.assertIn(text, completed.stderr)

    def change_text(self, file: str, old: str, new: str) -> None:
        path = self.root / "docs" / file
        content = path.read_text(encoding="utf-8")
        self.assertIn(old, content)
        path.write_text(content.replace(old, new), encoding="utf-8")

    def change_result(self, change: Callable[[dict[str, Any]], object]) -> None:
        path = self.root / "docs" / "results" / "scale" / "hosts.json"
        content = json.loads(path.read_text(encoding="utf-8"))
        change(content)
        path.write_text(json.dumps(content), encoding="utf-8")

    def row(self, page: str, start: str) -> str:
        rows = [line for line in page.splitlines() if line.startswith(start)]
        self.assertEqual(len(rows), 1, f"rows that start with {start!r}: {rows}")
        return rows[0]

    def test_row_shows_the_computed_figure_and_its_sources(self) -> None:
        page = self.write_page()
        row = self.row(page, "| processor, % of a core | at rest |")
        self.assertIn("| 11 (10.5 to 11.5) |", row)
        self.assertIn("gateway cpu_rest_percent: 1 + 0.0004 · hosts, residual 5.0%", row)
        self.assertIn(
            "[`experiments/scale/hosts.toml`](results/scale/hosts.json), seed 1, 3 plays, extrapolated from 12,000",
            row,
        )
        # 8640 changes per day at ten times the mean rate are 1 change/s. At 600 us each, they use 0.06% of a core.
        self.assertIn("| 0.06 (0.055 to 0.065) |", self.row(page, "|  | changes |"))
        self.assertIn("**assumed**: `peak_factor`", self.row(page, "|  | changes |"))

    def test_n_log_n_fit_is_shown_with_the_logarithm(self) -> None:
        def use_n_log_n_model(content: dict[str, Any]) -> None:
            content["fits"][2].update(form="n log n", slope=0.0001)

        self.assertIn("list_service cpu_rest_percent: 0.0012 · hosts, residual", self.write_page())
        self.change_result(use_n_log_n_model)
        row = self.row(self.write_page(), "| processor, % of a core | renewals |")
        self.assertIn(
            "| 25.3 (22.3 to 28.3) | list_service cpu_rest_percent: 0.0001 · hosts · ln(hosts), residual", row
        )

    def test_cost_per_host_excludes_the_offset_of_the_fit(self) -> None:
        row = self.row(self.write_page(), "| renewals of a host, messages/s |")
        self.assertIn("| renewals | 0.3 | list_service messages_in_per_s: 2 + 0.3 · hosts", row)

    def test_doubled_slope_raises_the_figure_and_its_factor(self) -> None:
        before = self.write_page()

        def double_slope(content: dict[str, Any]) -> None:
            content["fits"][0]["slope"] *= 2

        self.change_result(double_slope)
        after = self.write_page()
        self.assertIn("| 11 (10.5 to 11.5) |", self.row(before, "| processor, % of a core | at rest |"))
        self.assertIn("| 21 (20.5 to 21.5) |", self.row(after, "| processor, % of a core | at rest |"))
        self.assertIn("| 1 | Gateway: processor | at least 5.82", before)
        self.assertIn("| 1 | Gateway: processor | at least 11.1", after)

    def test_misses_are_sorted_by_descending_factor(self) -> None:
        def increase_service_slope(content: dict[str, Any]) -> None:
            content["fits"][2]["slope"] = 0.1

        original_first_rows = [line for line in self.write_page().splitlines() if line.startswith("| 1 |")]
        self.change_result(increase_service_slope)
        changed_first_rows = [line for line in self.write_page().splitlines() if line.startswith("| 1 |")]
        self.assertIn("Gateway: processor", original_first_rows[0])
        self.assertIn("List service: processor", changed_first_rows[0])

    def test_figures_are_listed_over_or_within_the_budget(self) -> None:
        page = self.write_page()
        over = page[page.index("### Over the budget") : page.index("### Nothing is built")]
        within = page[page.index("### Within the budget") :]
        self.assertNotIn("List service: processor", over)
        self.assertIn("- List service: processor: 0.6 (0.54 to 0.66) of what is allowed", within)
        self.assertIn("| 2 | List service: hosts accepted", over)

    def test_missing_sweep_is_shown_as_not_measured(self) -> None:
        page = self.write_page()
        row = self.row(page, "|  | tenants |")
        self.assertIn("| not measured |", row)
        self.assertIn("**not measured**: gateway cpu_rest_percent, sweep tenants", row)
        self.assertIn("**at least 11.1", self.row(page, "|  | **together** |"))
        self.assertIn("| tenants |  |  | not measured |", page)

    def test_without_results_all_measured_values_are_shown_as_not_measured(self) -> None:
        shutil.rmtree(self.root / "docs" / "results")
        page = self.write_page()
        self.assertIn("Nothing that was measured is over its budget.", page)
        self.assertIn("| **not measured** |", self.row(page, "|  | **together** |"))
        self.assertIn("- Gateway: processor: gateway cpu_per_change_us, sweep hosts; gateway cpu_rest", page)

    def test_sum_with_an_unmeasured_term_is_not_listed_within_the_budget(self) -> None:
        self.change_text("capacity/assumptions.toml", "value = 1.9", "value = 100")
        page = self.write_page()
        self.assertNotIn("Gateway: processor", page[page.index("### Within the budget") :])
        self.assertIn(
            "- Gateway: processor: at least 0.111 (0.106 to 0.116) of what is allowed; not measured: "
            "gateway cpu_rest_percent, sweep tenants",
            page,
        )

    def test_figure_over_the_budget_names_its_unmeasured_terms(self) -> None:
        row = self.row(self.write_page(), "| 1 | Gateway: processor")
        self.assertIn("; without gateway cpu_rest_percent, sweep tenants |", row)

    def test_figure_without_a_fit_is_shown_as_not_measured(self) -> None:
        self.change_result(lambda content: content["fits"].pop(0))
        row = self.row(self.write_page(), "| processor, % of a core | at rest |")
        self.assertIn("| not measured |", row)

    def test_largest_accepted_size_is_an_interval_up_to_the_refused_point(self) -> None:
        row = self.row(self.write_page(), "| hosts accepted, full size over the largest, times |")
        self.assertIn("| 2.08 (1 to 2.08) | ran at 12,000 hosts, not at 25,000: refused at the start |", row)

    def test_largest_accepted_size_is_not_measured_if_no_point_was_refused(self) -> None:
        self.change_result(lambda content: content["refused"].clear())
        row = self.row(self.write_page(), "| hosts accepted, full size over the largest, times |")
        self.assertIn("| not measured |", row)

    def test_storms_show_measured_figures_or_the_assumption(self) -> None:
        page = self.write_page()
        self.assertIn("| A zone starts | gateways 400 | 12,000,000 | 88 | 40 | 2,100 |", page)
        self.assertIn("seed 1, 1 play |", self.row(page, "| A zone starts |"))
        self.assertIn("not played", self.row(page, "| Regions lose each other |"))
        self.assertIn("**assumed**: ten minutes apart", page)

    def test_page_shows_refused_points_and_saturation_of_the_measuring_tool(self) -> None:
        page = self.write_page()
        self.assertIn("- hosts: 25,000 hosts: refused at the start", page)
        self.assertIn("the measuring tool itself was saturated at 12,000", page)

    def test_error_names_an_unknown_placeholder(self) -> None:
        self.change_text("capacity/CAPACITY.template.md", "{{storms}}", "{{stroms}}")
        self.assert_invalid_input("unknown placeholder 'stroms'")

    def test_error_names_an_unknown_value(self) -> None:
        self.change_text("capacity/CAPACITY.template.md", "{{value.hosts}}", "{{value.hots}}")
        self.assert_invalid_input("unknown placeholder 'value.hots'")

    def test_error_names_an_unknown_name_in_a_formula(self) -> None:
        self.change_text("capacity/assumptions.toml", '"service_rest_percent" }]', '"service_rest" }]')
        self.assert_invalid_input("formula 'service_rest': unknown name 'service_rest'")

    def test_name_defined_twice_is_an_error(self) -> None:
        self.change_text(
            "capacity/assumptions.toml",
            "peak_factor =",
            "hosts = { value = 1, unit = '', about = '' }\npeak_factor =",
        )
        self.assert_invalid_input("the name 'hosts' is defined twice")

    def test_circular_formula_is_an_error(self) -> None:
        self.change_text("capacity/assumptions.toml", "8640 / 86400 * peak_factor", "changes_per_s * 2")
        self.assert_invalid_input("the definition of 'changes_per_s' is circular")

    def test_error_names_an_unknown_key(self) -> None:
        self.change_text("capacity/assumptions.toml", 'cause = "one instance"', 'causes = "one instance"')
        self.assert_invalid_input("role 'list_service', figure 'processor': unknown key 'causes'")

    def test_error_names_file_and_field_of_a_malformed_result(self) -> None:
        self.change_result(lambda content: content.pop("largest"))
        self.assert_invalid_input("hosts.json: not a valid sweep result: KeyError('largest')")

    def test_sweep_with_a_different_full_size_is_an_error(self) -> None:
        self.change_text("capacity/assumptions.toml", "value = 25000", "value = 30000")
        self.assert_invalid_input(
            "sweep 'hosts': its full size is 25000 hosts, but assumptions.toml has 30000"
        )

    def test_check_of_an_edited_page_fails_and_shows_the_line(self) -> None:
        lines = self.write_page().splitlines()
        self.assertEqual(self.run_tool("--check").returncode, 0)
        line = next(number for number, text in enumerate(lines, start=1) if "| 11 (10.5 to 11.5) |" in text)
        self.change_text("CAPACITY.md", "| 11 (10.5 to 11.5) |", "| 9 (10.5 to 11.5) |")
        completed = self.run_tool("--check")
        self.assertEqual(completed.returncode, 1)
        self.assertIn(f"line {line}\n", completed.stderr)
        self.assertIn("| 9 (10.5 to 11.5) |", completed.stderr)

    def test_check_fails_if_a_result_changed_or_the_page_is_missing(self) -> None:
        self.assertEqual(self.run_tool("--check").returncode, 1)
        self.write_page()

        def double_slope(content: dict[str, Any]) -> None:
            content["fits"][0]["slope"] *= 2

        self.change_result(double_slope)
        self.assertEqual(self.run_tool("--check").returncode, 1)


if __name__ == "__main__":
    unittest.main()
