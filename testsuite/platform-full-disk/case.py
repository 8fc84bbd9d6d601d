"""The disk of a journal is full for a while: turns are made and continued with the others, the journal says that it can't write, also
after a restart, and is back without a restart once there is room. No torn record is read afterwards."""

import re

from harness import expect, wait_until
from platform_standins import Deployment

FULL = "journal-1"
# With four members and one tolerated loss, three have to answer.
JOURNALS = 4
TURNS = 20


def set_max_bytes(deployment, count):
    path = deployment.folder / f"{FULL}.toml"
    text = re.sub(r"max_bytes = \d+\n", "", path.read_text())
    path.write_text(text.replace("[disk]\n", f"[disk]\nmax_bytes = {count}\n"))


def used_bytes(deployment):
    return sum(path.stat().st_size for path in deployment.disk(FULL).iterdir())


def make_turns(deployment, name, previous=None):
    """Makes a chain of turns; each must be answered. Returns its last turn."""
    for number in range(TURNS):
        request = f"{name}-{number}"
        answer = deployment.turn("gateway-1", name, previous, request, budget=100_000, body=f"{number} ")
        expect(answer.status == 200 and answer.is_complete, f"turn {request} is answered {answer.status}")
        previous = request
    return previous


def restart(deployment, name):
    deployment.processes[name].kill()
    deployment.processes[name].close()
    text = (deployment.folder / f"{name}.toml").read_text()
    listen = re.search(r'listen = "([^"]*):\d+"', text).group(1)
    text = re.sub(r'listen = "[^"]*"', f'listen = "{listen}:{deployment.ports[name]}"', text)
    deployment.start("rattandeck-journal", name, text)


def run(build):
    with Deployment(build, journals=JOURNALS) as deployment:
        before = make_turns(deployment, "before")
        set_max_bytes(deployment, used_bytes(deployment) + 700)
        wait_until(lambda: '"applied":"disk.max_bytes"' in deployment.log_of(FULL), "the bound is applied")
        last = make_turns(deployment, "while-full")
        wait_until(lambda: "can't be written" in deployment.log_of(FULL), "the journal says that it can't write")
        full_bytes = used_bytes(deployment)
        make_turns(deployment, "continued", before)
        expect(used_bytes(deployment) <= full_bytes + 700, "the full disk is written")

        restart(deployment, FULL)
        make_turns(deployment, "after-restart", last)
        wait_until(lambda: deployment.log_of(FULL).count("can't be written") >= 2, "the restarted journal can't write")

        set_max_bytes(deployment, 0)
        wait_until(lambda: "can be written again" in deployment.log_of(FULL), "the journal writes again")
        make_turns(deployment, "with-room")
        # Its records are whole: it serves with them after another restart, and all others but two may be asked.
        restart(deployment, FULL)
        reads = re.findall(r"(\d+) records in (\d+) segments, (\d+) torn", deployment.log_of(FULL))
        expect(reads and reads[-1][2] == "0", f"segments are torn after the restart: {reads}")
        make_turns(deployment, "last", last)
        print(f"  disk of the full journal: {full_bytes} bytes; read at the last start: {reads[-1]}")
