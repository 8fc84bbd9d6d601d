"""A short run of the soak with a fixed seed (testsuite/soak/run has long ones)."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import options as soak_options  # noqa: E402
from harness import expect  # noqa: E402
from soak import run_soak  # noqa: E402


def run(build):
    is_kept, report = run_soak(soak_options.parser().parse_args(["--build", build, "--seed", "1", "--seconds", "20"]))
    expect(is_kept, report)
    print("  " + report.replace("\n", "\n  "))
