"""Settings change while a gateway and a journal run: invalid settings are rejected, valid ones are applied, and no
response is interrupted."""

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
        resume_streams = deployment.pause_streams()
        answers = []
        before = len(deployment.bodies())
        call = threading.Thread(target=lambda: answers.append(deployment.turn("gateway-1", "p")))
        call.start()
        wait_until(lambda: len(deployment.bodies()) == before + 1, "the turn is running")

        # A change of the file is detected without a signal. For an unknown key, the log names the nearest valid key.
        rewrite(deployment, "gateway-1", ("[log]\n", "[placement]\nmax_laod = 2\n[log]\n"))
        wait_until(lambda: "settings rejected" in deployment.log_of("gateway-1"), "invalid settings are rejected")
        expect("placement.max_load" in deployment.log_of("gateway-1"), "the log does not name the nearest valid key")
        rewrite(deployment, "gateway-1", ("max_laod = 2", "max_load = 2"), ('node = "gateway-1"', 'node = "other"'))
        wait_until(lambda: '"applied":"placement.max_load","need_restart":"node"' in deployment.log_of("gateway-1"),
                   "valid settings are applied")
        for name in ("gateway-1", "journal-1"):
            deployment.processes[name].signal(signal.SIGHUP)
            wait_until(lambda: '"event":"settings read","reason":"signal"' in deployment.log_of(name),
                       f"{name} reads its settings after SIGHUP")

        resume_streams()
        call.join(30)
        expect(answers[0].status == 200 and answers[0].is_complete, "a reload interrupted a response")
        expect(deployment.turn("gateway-1", "p").status == 200, "a turn is not served after a reload")
