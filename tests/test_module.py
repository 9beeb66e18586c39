"""Limits on the decision module, and the example in the README."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = (ROOT / "copperyard" / "decide.py").read_text()


def test_the_module_keeps_the_formatters_line_length():
    assert max(len(line) for line in MODULE.splitlines()) <= 120


def test_the_module_imports_nothing_that_reads_clocks_files_or_sockets():
    names = {n.name for node in ast.walk(ast.parse(MODULE)) if isinstance(node, ast.Import) for n in node.names}
    names |= {str(node.module) for node in ast.walk(ast.parse(MODULE)) if isinstance(node, ast.ImportFrom)}
    assert names <= {
        "__future__",
        "math",
        "random",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "itertools",
        "typing",
        "interface",
    }


def test_the_example_in_the_readme_runs():
    example = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert example is not None
    namespace: dict[str, object] = {}
    exec(example.group(1), namespace)
    assert namespace["sent"]
