"""One run of the soak: a deployment under load, faults drawn from a seed, and the verdict."""

import contextlib
import pathlib
import shutil
import subprocess
import threading
import time

from harness import in_parallel
from linkproxy import LinkProxies

import faults as fault_series
from callers import Caller, Callers
from judge import Judge
from organisationload import OrganisationInjector, draw_organisation_faults, organisation_callers
from standins import RETENTION_S, SoakDeployment

# Everything is served again at the latest this long after the last fault.
RECOVERY_S = 12.0
# How long a run goes on watching a recovery that took too long, to tell slow from never.
WATCHED_RECOVERY_S = 60.0
# How many kept turns are continued at the end, by how many callers at once.
MAX_CONTINUED = 400
CONTINUING_CALLERS = 16


class Soak:
    """A run with the options of `testsuite/soak/run`."""

    def __init__(self, options):
        self.options = options
        self.log = fault_series.FaultLog(time.monotonic())
        self.judge = Judge(self.log)
        self.lines = []

    def run(self):
        """Returns whether all promises were kept. `lines` is then the report."""
        with contextlib.closing(LinkProxies()) as links, \
                SoakDeployment(self.options.build, self.judge, links, self.options) as deployment:
            for name in deployment.processes:
                links.name(name)
            callers = Callers(deployment, self.judge, self.options.seed, self.options.callers)
            callers.callers += organisation_callers(callers, self.options.seed, self.options.callers)
            callers.start()
            try:
                self._play(deployment, links)
                recovery_s = self._recover(deployment, callers)
                callers.stop()
                self._continue_kept_turns(deployment, callers)
            finally:
                callers.stop()
            self.judge.finish(deployment)
            self._report(deployment, recovery_s)
            self._keep_logs(deployment)
        return not self.judge.violations

    def _play(self, deployment, links):
        self.log.started = time.monotonic()
        options = self.options
        faults = [] if options.only == "organisations" else fault_series.draw(
            options.seed, options.seconds, options.gateways, options.journals, options.tolerated, deployment.instance_counts,
            options.only)
        if options.only in (None, "organisations"):
            faults += draw_organisation_faults(options.seed, options.seconds, options.gateways, options.journals)
        injector = OrganisationInjector(deployment, links, self.log)
        injector.play(sorted(faults, key=lambda fault: fault.at), self.log.started + self.options.seconds)
        for error in injector.errors:
            self.judge.violate("processes stop and start when told to", error)

    # Recovery

    def _recover(self, deployment, callers):
        """Waits until everything is served. Returns the seconds that it took, or nothing."""
        ended = time.monotonic()
        while True:
            failed = [request for gateway in in_parallel(
                [lambda name=name: self._serve(callers, name) for name in deployment.names("gateway")])
                for request in gateway]
            took_s = time.monotonic() - ended
            if failed and len(self.judge.violations) < 100 and took_s > RECOVERY_S:
                request = failed[0]
                self.judge.violate("everything is served again some seconds after the last fault",
                                   f"{len(failed)} requests not served {took_s:.1f} s after it: {request.kind} at "
                                   f"{request.gateway}, status {request.status} {request.failure}", request.name)
            if not failed or took_s > WATCHED_RECOVERY_S:
                return None if failed else took_s
            time.sleep(0.2 if took_s < RECOVERY_S else 5)

    def _serve(self, callers, gateway):
        """Sends one request of each kind to a gateway. Returns those that were not served."""
        caller = Caller(callers, callers.callers[0].chance)
        first, turn = caller.turn(f"end-{next(callers.numbers)}", 100_000_000, gateway=gateway)
        requests = [first, caller.stream(gateway), caller.read(gateway), caller.write(gateway)]
        others = callers.kept_turns(RETENTION_S / 2)
        for kept in [turn, *caller.chance.sample(others, min(5, len(others)))]:
            if kept:
                requests.append(caller.turn(kept.program, 100_000_000, kept, gateway)[0])
        caller.close()
        return [request for request in requests if request.status != 200 or not request.is_complete]

    @staticmethod
    def _continue_kept_turns(deployment, callers):
        """Continues the turns that are within their retention; the judge checks that they are known, and their chains."""
        kept = callers.kept_turns(RETENTION_S / 2)
        kept = callers.callers[0].chance.sample(kept, min(MAX_CONTINUED, len(kept)))
        gateways = deployment.names("gateway")

        def continue_some(number):
            caller = Caller(callers, callers.callers[0].chance)
            for turn in kept[number::CONTINUING_CALLERS]:
                caller.turn(turn.program, 100_000_000, turn, gateways[number % len(gateways)])
            caller.close()

        in_parallel([lambda number=number: continue_some(number) for number in range(CONTINUING_CALLERS)])

    # Report

    def _report(self, deployment, recovery_s):
        options = self.options
        judge = self.judge
        say = self.lines.append
        say(f"seed {options.seed}: {options.seconds} s, {options.gateways} gateways, {options.journals} journals, "
            f"{options.tolerated} losses tolerated, {options.callers} callers; {len(judge.requests)} requests, "
            f"{len(self.log.entries)} faults, everything served after "
            f"{'never' if recovery_s is None else f'{recovery_s:.1f} s'}, mean sync {deployment.mean_sync_ms():.1f} ms, "
            f"{len(judge.violations)} violations")
        resumed, went_on, began = judge.resumed_shares()
        say(f"  streams resumed where they can go on: {resumed}, share that did {went_on:.2f}; new streams that began {began:.2f}")
        for near, text in (("none", "calm"), ("planned", "beside planned changes"), ("faults", "beside faults")):
            counts = {status: count for (status, where), count in judge.statuses.items() if where == near}
            if counts:
                say(f"  answers {text}: " + ", ".join(f"{status} {counts[status]}" for status in sorted(counts, key=str)))
        say(judge.organisations.report())
        if judge.violations:
            say("faults:\n" + self.log.text())
        traced = set()
        for violation in judge.violations[:20]:
            say(f"VIOLATION at {violation.at - self.log.started:.3f}: {violation.promise}: {violation.detail} "
                f"{violation.request}")
            if violation.request and violation.promise not in traced:
                traced.add(violation.promise)
                say(self._describe(violation.request))
                say(self._trace(deployment, violation.request))

    def _describe(self, name):
        request = self.judge.requests.get(name)
        if not request:
            return f"  {name}: unknown to the callers"
        return (f"  {name}: sent {request.sent_at - self.log.started:.3f}, ended {request.ended_at - self.log.started:.3f}, "
                f"status {request.status}, whole {request.is_complete}, {len(request.body)} bytes, continues "
                f"{request.previous or 'nothing'}, {request.failure}, ran at {self.judge.runs[name]}")

    @staticmethod
    def _trace(deployment, name):
        logs = sorted(str(path) for path in deployment.folder.glob("*.log"))
        done = subprocess.run([str(deployment.build / "src" / "rattandeckctl"), "trace", name, *logs],
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False, timeout=60)
        return "\n".join("  " + line[:600] for line in done.stdout.decode(errors="replace").splitlines()[-60:])

    def _keep_logs(self, deployment):
        if not self.options.keep_logs or not self.judge.violations:
            return
        target = pathlib.Path(self.options.keep_logs) / f"seed-{self.options.seed}"
        target.mkdir(parents=True, exist_ok=True)
        for path in [*deployment.folder.glob("*.log"), *deployment.folder.glob("*.toml")]:
            shutil.copy(path, target)
        for name in deployment.running(""):
            with contextlib.suppress(OSError):
                (target / f"{name}.metrics").write_text(deployment.metrics_page(name))
        (target / "report.txt").write_text("\n".join(self.lines) + "\n")
        (target / "requests.txt").write_text("".join(
            self._describe(name) + "\n" for name in list(self.judge.requests)))
        self.lines.append(f"logs are kept in {target}")


def run_soak(options):
    """Runs one seed. Returns (whether all promises were kept, report)."""
    threading.stack_size(512 * 1024)
    try:
        soak = Soak(options)
        return soak.run(), "\n".join(soak.lines)
    finally:
        threading.stack_size(0)
