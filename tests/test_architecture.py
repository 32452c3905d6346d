"""The files, classes, methods and store keys that the architecture page names exist in the sources."""

import ast
import re
from pathlib import Path

import pytest

from alderbridge.protocol import keys
from alderbridge.protocol.keys import ROOT as ROOT_KEY

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")
QUOTED = sorted(set(re.findall(r"`([^`\n]+)`", PAGE)))
KEYS = [name for name in QUOTED if name.startswith(ROOT_KEY)]
PATHS = [name for name in QUOTED if re.fullmatch(r"[\w/]+(\.py|\.md|\.toml|/)", name) and name not in KEYS]
NAMES = [name for name in QUOTED if re.fullmatch(r"[A-Z][A-Za-z]+(\.\w+)?", name) and name not in PATHS]


def members_by_class() -> dict[str, set[str]]:
    """The methods of each class of the service; classes of the same name are merged."""
    members_of: dict[str, set[str]] = {}
    for path in (ROOT / "alderbridge").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef):
                members = members_of.setdefault(node.name, set())
                members.update(inner.name for inner in ast.walk(node) if isinstance(inner, ast.FunctionDef))
                members.update(inner.name for inner in ast.walk(node) if isinstance(inner, ast.AsyncFunctionDef))
    return members_of


CLASSES = members_by_class()


@pytest.mark.parametrize("path", PATHS)
def test_each_file_that_the_page_names_exists(path):
    assert any((ROOT / folder / path).exists() for folder in ("", "alderbridge", "docs")), path


@pytest.mark.parametrize("name", NAMES)
def test_each_class_and_method_that_the_page_names_exists(name):
    class_name, _, member = name.partition(".")
    assert class_name in CLASSES, class_name
    assert not member or member in CLASSES[class_name], name


@pytest.mark.parametrize("key", KEYS)
def test_each_store_key_that_the_page_names_exists(key):
    known = {value for name, value in vars(keys).items() if name.isupper() and isinstance(value, str)}
    assert any(key == prefix or (prefix.endswith("/") and key.startswith(prefix)) for prefix in known - {ROOT_KEY})


def test_page_names_files_and_classes():
    assert len(PATHS) > 10 and len(NAMES) > 20
