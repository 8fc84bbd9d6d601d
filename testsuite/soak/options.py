"""Options of a run of the soak, and the seeds that failed once."""

import argparse
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent)]

SEEDS_FILE = HERE / "seeds.txt"


def parser(description=__doc__):
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--build", default="build", help="build folder")
    result.add_argument("--seed", type=int, default=1, help="first seed")
    result.add_argument("--seeds", type=int, default=1, help="number of seeds to run, one after the other")
    result.add_argument("--seconds", type=float, default=30, help="time during which faults are injected")
    result.add_argument("--gateways", type=int, default=4)
    result.add_argument("--journals", type=int, default=3)
    result.add_argument("--tolerated", type=int, default=1, help="journals.tolerated_losses")
    result.add_argument("--callers", type=int, default=12)
    result.add_argument("--only", choices=["planned", "links", "processes", "versions", "domains", "gateways", "disks", "mixed",
                                           "organisations"],
                        help="one kind of episode (default: all kinds)")
    result.add_argument("--disks", metavar="FOLDER",
                        help="where logs and the journals' disks are (default: the system's temporary folder)")
    result.add_argument("--keep-logs", metavar="FOLDER", help="keep the logs of runs that fail here")
    result.add_argument("--regressions", action="store_true", help="run the seeds of seeds.txt instead")
    return result


def regressions(build, keep_logs):
    """Returns the options of each line of seeds.txt, such as "--seed 7 --journals 5 | cause"."""
    lines = [line.split("|")[0].split() for line in SEEDS_FILE.read_text().splitlines()
             if line.strip() and not line.startswith("#")]
    more = ["--build", build] + (["--keep-logs", keep_logs] if keep_logs else [])
    return [parser().parse_args(line + more) for line in lines]
