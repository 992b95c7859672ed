"""Only the failures listed in KNOWN-RED.txt are expected, and errors in the file fail the run."""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys

import pytest

SAMPLE_TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
#: path of the sample tests, some directories below conftest.py
SAMPLE_FILE = "tests/core/jobs/test_x.py"
RED, GREEN = f"{SAMPLE_FILE}::test_red", f"{SAMPLE_FILE}::test_green"


@pytest.mark.parametrize(
    ("lines", "ok", "printed"),
    [
        (None, False, "1 failed, 1 passed"),
        ([f"{RED} | a cause | 13"], True, f"known red, passed over: {RED}: a cause (issue 13)"),
        ([f"{RED} | a cause | 13", f"{GREEN} | a cause | 13"], False, "XPASS(strict)"),
        ([f"{RED} | a | 1", f"{SAMPLE_FILE}::test_none | a | 1"], False, "no such test"),
        (
            [f"{RED} | a | 1", *(f"{RED}{number} | a | 1" for number in range(3))],
            False,
            "3 at most",
        ),
        ([RED], False, "not 'test | cause | issue'"),
    ],
)
def test_known_failures(
    tmp_path: pathlib.Path, lines: list[str] | None, ok: bool, printed: str
) -> None:
    (tmp_path / SAMPLE_FILE).parent.mkdir(parents=True)
    shutil.copy(pathlib.Path(__file__).parent / "conftest.py", tmp_path / "tests")
    (tmp_path / SAMPLE_FILE).write_text(SAMPLE_TESTS)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (run.returncode == 0) == ok, run.stdout
    assert printed in run.stdout + run.stderr
