"""tools/capacity.py against a small set of invented results (tests/fixtures/capacity)."""

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
    """Each test works on a copy of the fixture."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name) / "copy"
        shutil.copytree(_FIXTURE, self.root)

    def run_tool(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-B", str(_TOOL), "--root", str(self.root), *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def write_page(self) -> str:
        done = self.run_tool()
        self.assertEqual(done.returncode, 0, done.stderr)
        return (self.root / "docs" / "CAPACITY.md").read_text(encoding="utf-8")

    def assert_unusable(self, text: str) -> None:
        done = self.run_tool()
        self.assertEqual(done.returncode, 2, done.stdout)
        self.assertIn(text, done.stderr)

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

    def test_a_figure_is_worked_out_and_names_its_sources(self) -> None:
        page = self.write_page()
        row = self.row(page, "| processor, % of a core | at rest |")
        self.assertIn("| 11 (10.5 to 11.5) |", row)
        self.assertIn("gateway cpu_rest_percent: 1 + 0.0004 · hosts, residual 5.0%", row)
        self.assertIn(
            "[`experiments/scale/hosts.toml`](results/scale/hosts.json), seed 1, 3 plays, extrapolated from 12,000",
            row,
        )
        # 600 us a change, 8640 a day, ten times the mean: 600 us a second.
        self.assertIn("| 0.06 (0.055 to 0.065) |", self.row(page, "|  | changes |"))
        self.assertIn("**assumed**: `peak_factor`", self.row(page, "|  | changes |"))

    def test_a_form_that_is_no_line_is_written_out(self) -> None:
        def bend(content: dict[str, Any]) -> None:
            content["fits"][2].update(form="n log n", slope=0.0001)

        self.assertIn("list_service cpu_rest_percent: 0.0012 · hosts, residual", self.write_page())
        self.change_result(bend)
        row = self.row(self.write_page(), "| processor, % of a core | renewals |")
        self.assertIn(
            "| 25.3 (22.3 to 28.3) | list_service cpu_rest_percent: 0.0001 · hosts · ln(hosts), residual", row
        )

    def test_growth_for_one_host_leaves_the_offset_out(self) -> None:
        row = self.row(self.write_page(), "| renewals of a host, messages/s |")
        self.assertIn("| renewals | 0.3 | list_service messages_in_per_s: 2 + 0.3 · hosts", row)

    def test_a_changed_slope_changes_the_page(self) -> None:
        before = self.write_page()

        def steeper(content: dict[str, Any]) -> None:
            content["fits"][0]["slope"] *= 2

        self.change_result(steeper)
        after = self.write_page()
        self.assertIn("| 11 (10.5 to 11.5) |", self.row(before, "| processor, % of a core | at rest |"))
        self.assertIn("| 21 (20.5 to 21.5) |", self.row(after, "| processor, % of a core | at rest |"))
        self.assertIn("| 1 | Gateway: processor | at least 5.82", before)
        self.assertIn("| 1 | Gateway: processor | at least 11.1", after)

    def test_the_furthest_miss_comes_first(self) -> None:
        def heavier_service(content: dict[str, Any]) -> None:
            content["fits"][2]["slope"] = 0.1

        first = [line for line in self.write_page().splitlines() if line.startswith("| 1 |")]
        self.change_result(heavier_service)
        then = [line for line in self.write_page().splitlines() if line.startswith("| 1 |")]
        self.assertIn("Gateway: processor", first[0])
        self.assertIn("List service: processor", then[0])

    def test_the_list_holds_only_what_is_over(self) -> None:
        page = self.write_page()
        over = page[page.index("### Over the budget") : page.index("### Nothing is built")]
        within = page[page.index("### Within the budget") :]
        self.assertNotIn("List service: processor", over)
        self.assertIn("- List service: processor: 0.6 (0.54 to 0.66) of what is allowed", within)
        self.assertIn("| 2 | List service: hosts accepted", over)

    def test_a_missing_sweep_is_said_and_not_invented(self) -> None:
        page = self.write_page()
        row = self.row(page, "|  | tenants |")
        self.assertIn("| not measured |", row)
        self.assertIn("**not measured**: gateway cpu_rest_percent, sweep tenants", row)
        self.assertIn("**at least 11.1", self.row(page, "|  | **together** |"))
        self.assertIn("| tenants |  |  | not measured |", page)

    def test_without_any_result_nothing_is_invented(self) -> None:
        shutil.rmtree(self.root / "docs" / "results")
        page = self.write_page()
        self.assertIn("Nothing that was measured is over its budget.", page)
        self.assertIn("| **not measured** |", self.row(page, "|  | **together** |"))
        self.assertIn("- Gateway: processor: gateway cpu_per_change_us, sweep hosts; gateway cpu_rest", page)

    def test_a_sum_without_all_its_parts_is_never_called_within_the_budget(self) -> None:
        self.change_text("capacity/assumptions.toml", "value = 1.9", "value = 100")
        page = self.write_page()
        self.assertNotIn("Gateway: processor", page[page.index("### Within the budget") :])
        self.assertIn(
            "- Gateway: processor: at least 0.111 (0.106 to 0.116) of what is allowed; not measured: "
            "gateway cpu_rest_percent, sweep tenants",
            page,
        )

    def test_a_miss_names_the_parts_that_are_not_in_it(self) -> None:
        row = self.row(self.write_page(), "| 1 | Gateway: processor")
        self.assertIn("; without gateway cpu_rest_percent, sweep tenants |", row)

    def test_a_missing_figure_of_a_sweep_is_said(self) -> None:
        self.change_result(lambda content: content["fits"].pop(0))
        row = self.row(self.write_page(), "| processor, % of a core | at rest |")
        self.assertIn("| not measured |", row)

    def test_the_largest_size_that_runs_lies_between_two_points(self) -> None:
        row = self.row(self.write_page(), "| hosts accepted, full size over the largest, times |")
        self.assertIn("| 2.08 (1 to 2.08) | ran at 12,000 hosts, not at 25,000: refused at the start |", row)

    def test_a_sweep_that_the_machine_ended_says_nothing_of_the_largest_size(self) -> None:
        self.change_result(lambda content: content["refused"].clear())
        row = self.row(self.write_page(), "| hosts accepted, full size over the largest, times |")
        self.assertIn("| not measured |", row)

    def test_storms_that_are_not_played_show_what_is_assumed(self) -> None:
        page = self.write_page()
        self.assertIn("| A zone starts | gateways 400 | 12,000,000 | 88 | 40 | 2,100 |", page)
        self.assertIn("seed 1, 1 play |", self.row(page, "| A zone starts |"))
        self.assertIn("not played", self.row(page, "| Regions lose each other |"))
        self.assertIn("**assumed**: ten minutes apart", page)

    def test_refused_points_and_a_saturated_tool_are_said(self) -> None:
        page = self.write_page()
        self.assertIn("- hosts: 25,000 hosts: refused at the start", page)
        self.assertIn("the measuring tool itself was saturated at 12,000", page)

    def test_an_unknown_placeholder_is_an_error_that_names_it(self) -> None:
        self.change_text("capacity/CAPACITY.template.md", "{{storms}}", "{{stroms}}")
        self.assert_unusable("unknown placeholder 'stroms'")

    def test_an_unknown_value_is_an_error_that_names_it(self) -> None:
        self.change_text("capacity/CAPACITY.template.md", "{{value.hosts}}", "{{value.hots}}")
        self.assert_unusable("unknown placeholder 'value.hots'")

    def test_an_unknown_name_in_a_formula_is_an_error_that_names_it(self) -> None:
        self.change_text("capacity/assumptions.toml", '"service_rest_percent" }]', '"service_rest" }]')
        self.assert_unusable("formula 'service_rest': unknown name 'service_rest'")

    def test_a_name_that_is_defined_twice_is_an_error(self) -> None:
        self.change_text(
            "capacity/assumptions.toml",
            "peak_factor =",
            "hosts = { value = 1, unit = '', about = '' }\npeak_factor =",
        )
        self.assert_unusable("the name 'hosts' is defined twice")

    def test_a_formula_that_needs_itself_is_an_error(self) -> None:
        self.change_text("capacity/assumptions.toml", "8640 / 86400 * peak_factor", "changes_per_s * 2")
        self.assert_unusable("'changes_per_s' is defined by itself")

    def test_an_unknown_key_is_an_error_that_names_it(self) -> None:
        self.change_text("capacity/assumptions.toml", 'cause = "one instance"', 'causes = "one instance"')
        self.assert_unusable("role 'list_service', figure 'processor': unknown key 'causes'")

    def test_a_malformed_result_is_an_error_that_names_file_and_field(self) -> None:
        self.change_result(lambda content: content.pop("largest"))
        self.assert_unusable("hosts.json: no result of a sweep: KeyError('largest')")

    def test_a_sweep_to_another_size_is_an_error(self) -> None:
        self.change_text("capacity/assumptions.toml", "value = 25000", "value = 30000")
        self.assert_unusable("sweep 'hosts': its full size is 25000 hosts, the page's 30000")

    def test_the_check_holds_the_page_to_the_results(self) -> None:
        lines = self.write_page().splitlines()
        self.assertEqual(self.run_tool("--check").returncode, 0)
        line = next(place for place, text in enumerate(lines, start=1) if "| 11 (10.5 to 11.5) |" in text)
        self.change_text("CAPACITY.md", "| 11 (10.5 to 11.5) |", "| 9 (10.5 to 11.5) |")
        done = self.run_tool("--check")
        self.assertEqual(done.returncode, 1)
        self.assertIn(f"line {line}\n", done.stderr)
        self.assertIn("| 9 (10.5 to 11.5) |", done.stderr)

    def test_the_check_fails_where_a_result_changed_and_where_there_is_no_page(self) -> None:
        self.assertEqual(self.run_tool("--check").returncode, 1)
        self.write_page()

        def steeper(content: dict[str, Any]) -> None:
            content["fits"][0]["slope"] *= 2

        self.change_result(steeper)
        self.assertEqual(self.run_tool("--check").returncode, 1)


if __name__ == "__main__":
    unittest.main()
