"""Settings that change while gateway and journal run: bad ones change nothing, good ones are applied, no answer is cut."""

import signal
import threading

from harness import expect, wait_until
from platform_standins import Deployment


def rewrite(deployment, name, *changes):
    path = deployment.folder / f"{name}.toml"
    text = path.read_text()
    for old, new in changes:
        text = text.replace(old, new)
    path.write_text(text)
    return text


def run(build):
    with Deployment(build) as deployment:
        let_end = deployment.hold_streams()
        answers = []
        before = len(deployment.bodies())
        call = threading.Thread(target=lambda: answers.append(deployment.turn("gateway-1", "p")))
        call.start()
        wait_until(lambda: len(deployment.bodies()) == before + 1, "the turn runs")

        # A changed file is noticed without a signal; a mistake in it is named with its place.
        rewrite(deployment, "gateway-1", ("[log]\n", "[placement]\nmax_laod = 2\n[log]\n"))
        wait_until(lambda: "settings rejected" in deployment.log_of("gateway-1"), "bad settings are rejected")
        expect("placement.max_load" in deployment.log_of("gateway-1"), "the nearest key is not named")
        rewrite(deployment, "gateway-1", ("max_laod = 2", "max_load = 2"), ('node = "gateway-1"', 'node = "other"'))
        wait_until(lambda: '"applied":"placement.max_load","need_restart":"node"' in deployment.log_of("gateway-1"),
                   "good settings are applied")
        for name in ("gateway-1", "journal-1"):
            deployment.processes[name].signal(signal.SIGHUP)
            wait_until(lambda: '"event":"settings read","reason":"signal"' in deployment.log_of(name), f"{name} reads")

        let_end()
        call.join(30)
        expect(answers[0].status == 200 and answers[0].is_whole, "a reload cut an answer")
        expect(deployment.turn("gateway-1", "p").status == 200, "nothing is served after a reload")
