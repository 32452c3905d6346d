"""tools/known_red.py: each listed test must exist and fail, and no other test is deselected with it."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TOOL = Path(__file__).resolve().parent.parent / "tools" / "known_red.py"
SUITE = """
import pytest

def test_red():
    assert False, "the fault"

def test_red_beside():  # its name starts with that of the listed test
    open("beside", "w").close()

@pytest.mark.parametrize("n", (1, 2))
def test_each(n):
    assert n == 1
"""
RED = "test_a.py::test_red | pytest test_a.py, seed 5 | a real fault | #12\n"
EACH = "test_a.py::test_each[2] | pytest test_a.py | another | #13\n"
FORMAT_ERROR = "expected: test id | command and seed | what was seen | #issue"
RED_AND_EACH = f"# why these may land\n\n{RED}{EACH}"


def run_tool(folder, listed, suite=SUITE, workers=0):
    (folder / "test_a.py").write_text(suite)
    (folder / "pytest.ini").write_text(f"[pytest]\naddopts = -n {workers} -p no:cacheprovider\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    # The environment holds pytest settings of the run that this test belongs to.
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    return subprocess.run(
        [sys.executable, str(TOOL), str(folder)], text=True, capture_output=True, check=False, env=environment
    )


def test_failing_listed_tests_are_printed_and_only_these_deselected(tmp_path):
    result = run_tool(tmp_path, RED_AND_EACH, workers=1)  # in a worker process, as the suite runs
    assert result.returncode == 0, result.stdout + result.stderr
    assert "known red: test_a.py::test_red: a real fault (#12)" in result.stdout and "another (#13)" in result.stdout
    assert "2 passed" in result.stdout and (tmp_path / "beside").exists()


def test_any_number_of_tests_may_be_listed(tmp_path):
    suite = "import pytest\n\n@pytest.mark.parametrize('n', range(5))\ndef test_n(n):\n    assert n > 3\n"
    listed = "".join(f"test_a.py::test_n[{n}] | pytest, seed {n} | fault {n} | #7\n" for n in range(4))
    result = run_tool(tmp_path, listed, suite)
    assert result.returncode == 0, result.stdout + result.stderr
    for n in range(4):
        assert f"known red: test_a.py::test_n[{n}]: fault {n} (#7); pytest, seed {n}" in result.stdout


def test_a_listed_test_that_does_not_run_fails(tmp_path):
    suite = "import os\n\ndef test_red():\n    os._exit(3)\n\ndef test_green():\n    pass\n"
    result = run_tool(tmp_path, RED, suite)
    assert result.returncode == 1 and "did not run" in result.stderr, result.stdout + result.stderr


def test_list_that_is_not_utf8_fails_with_one_line(tmp_path):
    (tmp_path / "KNOWN-RED.txt").write_bytes(b"\xff\n")
    result = run_tool(tmp_path, None)
    assert result.returncode == 1 and result.stderr.splitlines() == ["KNOWN-RED.txt: not UTF-8 at byte 0"]


@pytest.mark.parametrize("listed", (None, "", "# none\n\n"))
def test_all_tests_run_when_none_is_listed(tmp_path, listed):
    assert run_tool(tmp_path, listed).returncode == 1
    assert run_tool(tmp_path, listed, "def test_green():\n    pass\n").returncode == 0


@pytest.mark.parametrize(
    "listed, error",
    [
        (RED, "the suite fails"),  # test_each[2] also fails and is not listed
        (RED_AND_EACH.replace("red ", "gone "), "does not name one test"),
        (RED_AND_EACH.replace("test_a", "test_b"), "does not name one test"),
        (RED_AND_EACH.replace("[2]", ""), "does not name one test"),  # names two tests
        (RED_AND_EACH + "test_a.py::test_red_beside | pytest | nothing | #14\n", "passes"),
        (RED_AND_EACH + RED, "listed twice"),
        (RED_AND_EACH + "test_a.py::test_red_beside\n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py::test_red_beside | pytest | | #14\n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py::test_red_beside | | nothing | #14\n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py::test_red_beside | pytest | nothing | \n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py::test_red_beside | nothing | #14\n", FORMAT_ERROR),  # without a command
        (RED_AND_EACH + "test_a.py::test_red_beside | pytest | nothing | #14 | more\n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py::test_red_beside | pytest | nothing | later\n", FORMAT_ERROR),
        (RED_AND_EACH + "test_a.py | pytest | all of it | #14\n", FORMAT_ERROR),
    ],
)
def test_invalid_list_fails(tmp_path, listed, error):
    result = run_tool(tmp_path, listed)
    assert result.returncode == 1 and error in result.stderr, result.stdout + result.stderr
