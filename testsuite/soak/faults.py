"""Draws series of faults from a seed, and injects them from outside the processes.

A run consists of episodes, each with faults of some kinds that overlap. Before planned changes and before disks are emptied, all
is calm for some seconds, so that only these can explain what callers see then.
"""

import contextlib
import dataclasses
import random
import shutil
import signal
import threading
import time

from harness import CaseFailed, in_parallel
from linkproxy import ANY
from platform_standins import route

DOMAINS = "abc"
# After its end a fault explains failures for this long: links are dialled again, processes start, members change.
AFTER_EFFECT_S = 4.0
# A machine without a fault for this long is in touch (the platform's `contact_ms`).
CONTACT_S = 3.0
CALM_S = 5.0
# Part of the links that are held back and break at the end.
BREAKING_PART = 0.5
PLANNED = ("stop", "reload", "settings", "wrong settings", "configuration", "drain", "roll out")
LINKS = ("delay", "cut one way", "silence", "isolate", "reset", "narrow", "instance delay", "instance silence",
         "instance reset")
PROCESSES = ("kill", "freeze", "stop", "reload", "instance refuses", "instance restarts", "instance breaks streams",
             "domain crashes", "roll out", "roll back")
# Times in which the process of a gateway did not run without a break.
STOPS = ("kill", "freeze", "stop")
# How long an instance goes on that has said that it leaves, and how long a process takes to start.
LEAVING_S = 2.5
START_S = 2.0
REGISTRATION_S = 1.2
OTHER_VERSION = {"v1": "v2", "v2": "v1"}
STORE = ("store refuses", "store silent", "store loses answers")
# Two versions of the engines side by side, while streams break.
VERSIONS = ("roll out", "roll back", "instance restarts", "kill", "freeze", "instance reset", *["instance breaks streams"] * 4)
# All gateways die at one moment beside a roll-out, while streams break.
GATEWAYS = ("roll out", "roll back", *["kill gateways"] * 3, *["instance breaks streams"] * 2)
EPISODES = {"planned": PLANNED, "links": LINKS, "processes": PROCESSES, "versions": VERSIONS, "disks": (),
            "domains": ("domain crashes",), "gateways": GATEWAYS, "mixed": PLANNED + LINKS + PROCESSES + STORE}


@dataclasses.dataclass
class Fault:
    at: float
    duration: float
    kind: str
    # Nodes by kind and number; what they are called is known to the deployment.
    nodes: tuple
    value: float = 0.0
    is_planned: bool = False


def draw(seed, seconds, gateways, journals, tolerated, instances, only=None):
    """Returns the faults of a run, by the time at which they begin. `only` makes all episodes of one kind."""
    chance = random.Random(f"faults {seed}")
    nodes = {"gateway": gateways, "journal": journals, "llm": instances["llm"], "app": instances["app"]}
    faults = []
    at = 2.0
    while at < seconds - 4:
        episode = only or chance.choice(
            ["planned", "links", "processes", "versions", "domains", "disks", "mixed", "mixed"])
        if episode in ("planned", "disks"):
            at += CALM_S
        length = min(chance.uniform(5, 10), seconds - at)
        if length <= 1:
            break
        if episode == "disks":
            faults += draw_emptied_disks(chance, at, gateways, journals, tolerated)
        count = chance.randint(4, 10) * (1 + (gateways + journals) // 20)
        for _ in range(count if episode != "disks" else chance.choice([0, count])):
            kinds = EPISODES[episode] or LINKS
            faults.append(draw_fault(chance, at, length, chance.choice(kinds), nodes, episode == "planned"))
        at += length
    return sorted(faults, key=lambda fault: fault.at)


def draw_emptied_disks(chance, at, gateways, journals, tolerated):
    """Empties as many disks as may be lost. In half of the draws some gateways reach none of the other journals from shortly before
    until after that, so that what they were told to be durable is on the fewest disks."""
    emptied = chance.sample(range(1, journals + 1), chance.randint(1, tolerated))
    cut_off = [number for number in range(1, gateways + 1) if chance.random() < 0.7] if chance.random() < 0.5 else []
    cuts = [Fault(at, chance.uniform(0.5, 2), "silence", (f"gateway-{gateway}", f"journal-{journal}"), chance.random())
            for gateway in cut_off for journal in range(1, journals + 1) if journal not in emptied]
    # Without cuts the disks are lost at one moment.
    return cuts + [Fault(at + (0.4 if cuts else 0), chance.uniform(0.8, 3), "empty disk", (f"journal-{number}",))
                   for number in emptied]


def instances_of_a_domain(number, nodes):
    return tuple(f"{service}-{instance}" for service in ("llm", "app")
                 for instance in range(1, nodes[service] + 1) if instance % len(DOMAINS) == number)


def draw_fault(chance, at, length, kind, nodes, is_planned):
    def pick(*kinds):
        kind_of_node = chance.choice(kinds)
        return f"{kind_of_node}-{chance.randint(1, nodes[kind_of_node])}"

    # Planned stops of journals come one after the other, as an operator does them: only the first journal is stopped.
    process = pick("gateway", "gateway", "journal") if not is_planned else chance.choice([pick("gateway"), "journal-1"])
    picks = {
        "delay": lambda: (pick("gateway", "journal"), pick("journal")),
        "cut one way": lambda: (pick("gateway", "journal"), pick("gateway", "journal")),
        "silence": lambda: (pick("gateway", "journal"), pick("journal")),
        "reset": lambda: (pick("gateway", "journal"), pick("journal")),
        "isolate": lambda: (pick("gateway", "journal"),),
        "narrow": lambda: (pick("gateway", "journal"),),
        "drain": lambda: (pick("llm", "app"),),
        "kill gateways": lambda: tuple(f"gateway-{number}" for number in range(1, nodes["gateway"] + 1)),
        "roll out": lambda: ("llm",),
        "roll back": lambda: ("llm",),
        "domain crashes": lambda: instances_of_a_domain(chance.randint(0, len(DOMAINS) - 1), nodes),
        "instance breaks streams": lambda: (pick("llm"),),
    }
    is_instance = kind.startswith("instance")
    chosen = picks.get(kind, lambda: (pick("llm", "app"),) if is_instance else (process,))()
    value = {"delay": chance.uniform(0.02, 0.3), "instance delay": chance.uniform(0.02, 0.4),
             "narrow": chance.uniform(100_000, 1_000_000)}.get(kind, chance.random())
    return Fault(at + chance.uniform(0, length - 1), chance.uniform(0.2, min(5, length)), kind, chosen, value, is_planned)


class FaultLog:
    """When which fault was in force. Thread safety: entries are only appended and ended."""

    def __init__(self, started):
        self.started = started
        # [begin, end or None, text, whether it is planned]
        self.entries = []

    def begin(self, text, is_planned):
        entry = [time.monotonic(), None, text, is_planned]
        self.entries.append(entry)
        return entry

    def near(self, begin, end):
        """Returns which faults can explain what happened in this time: "none", "planned" (only changes that a planned
        operation makes) or "faults"."""
        near = [is_planned for began, ended, _, is_planned in list(self.entries)
                if began <= end and (ended or end) + AFTER_EFFECT_S >= begin]
        return "none" if not near else "planned" if all(near) else "faults"

    def _naming(self, node, since):
        """The entries that name a node and were in force after that time."""
        return [entry for entry in list(self.entries) if node in entry[2].split() and (entry[1] or since) >= since]

    def is_sound(self, instance, since):
        """Whether no fault has named an instance shortly before this time or after it."""
        return not self._naming(instance.split("#")[0].split(".")[0], since - CONTACT_S)

    def in_touch(self, gateway, at):
        """Whether no fault is near that names the gateway, the store or two journals."""
        since = at - CONTACT_S
        if self._naming(gateway, since) or self._naming("store", since):
            return False
        words = {word for entry in list(self.entries) if (entry[1] or since) >= since for word in entry[2].split()}
        return sum(word.startswith("journal-") for word in words) < 2

    def stopped(self, gateway, since):
        """Whether the process of the gateway was stopped, killed or frozen since then."""
        return any(entry[2].startswith(STOPS) for entry in self._naming(gateway, since))

    def store_unread(self, journals):
        """Returns when the store answered none of these journals."""
        return [(began, ended or began) for began, ended, text, _ in self.entries
                if text.startswith(("store refuses", "store silent"))
                or text.startswith("refusal") and journals <= {*text.split()}]

    def text(self):
        return "\n".join(f"{began - self.started:8.3f} to {'     ...' if not ended else f'{ended - self.started:8.3f}'} "
                         f"{'planned ' if is_planned else ''}{text}"
                         for began, ended, text, is_planned in sorted(self.entries, key=lambda entry: entry[0]))


class Injector:
    """Injects faults into a deployment, each in a thread of its own for as long as it lasts."""

    def __init__(self, deployment, links, log):
        self.deployment = deployment
        self.links = links
        self.log = log
        self.threads = []
        # Processes and instances with a fault that doesn't bear another one.
        self.busy = set()
        self.lock = threading.Lock()
        self.errors = []

    def play(self, faults, until):
        """Injects faults at their times, and returns when all have ended."""
        for fault in faults:
            time.sleep(max(0, self.log.started + fault.at - time.monotonic()))
            if time.monotonic() > until:
                break
            self.threads.append(threading.Thread(target=self._run, args=(fault,)))
            self.threads[-1].start()
        time.sleep(max(0, until - time.monotonic()))
        for thread in self.threads:
            thread.join()

    def _run(self, fault):
        is_exclusive = fault.kind not in LINKS or fault.kind in ("isolate", "narrow")
        key = "store" if fault.kind in STORE else (fault.nodes[0], fault.kind in LINKS)
        with self.lock:
            if is_exclusive and key in self.busy:
                return
            self.busy.add(key)
        text = f"{fault.kind} {' '.join(fault.nodes) if fault.kind not in STORE else ''} {fault.value:.3g}"
        try:
            if fault.kind == "empty disk" and not self.deployment.is_complete():
                self.log.begin(f"left out, journals are not complete: {text}", True)[1] = time.monotonic()
                return
            entry = self.log.begin(text, fault.is_planned)
            try:
                self.inject(fault)
            finally:
                entry[1] = time.monotonic()
        except Exception as error:  # noqa: BLE001 a fault that can't be injected or ended fails the run
            self.errors.append(f"{text}: {error!r}")
        finally:
            with self.lock:
                self.busy.discard(key)

    def inject(self, fault):
        name = fault.kind.replace(" ", "_")
        if fault.kind in STORE:
            self.store_fault(fault)
        elif fault.kind.startswith("instance") or fault.kind == "drain":
            getattr(self, name)(self.instance(fault.nodes[0]), fault)
        elif fault.kind in ("roll out", "roll back"):
            self.roll(fault)
        else:
            getattr(self, name)(fault)

    # Links

    def rule(self, fault, *directions, **effect):
        for source, sink in directions:
            self.links.set_rule(source, sink, **effect)
        time.sleep(fault.duration)
        # What was held back is lost when the connections break before the rule ends.
        if effect.get("is_blocked") and fault.value < BREAKING_PART:
            self.links.reset(*fault.nodes)
        for source, sink in directions:
            self.links.set_rule(source, sink)

    def delay(self, fault):
        one, other = fault.nodes
        self.rule(fault, (one, other), (other, one), delay_s=fault.value)

    def cut_one_way(self, fault):
        self.rule(fault, fault.nodes, is_blocked=True)

    def silence(self, fault):
        one, other = fault.nodes
        self.rule(fault, (one, other), (other, one), is_blocked=True)

    def isolate(self, fault):
        node = fault.nodes[0]
        self.rule(fault, (node, ANY), (ANY, node), is_blocked=True)

    def reset(self, fault):
        self.links.reset(*fault.nodes)

    def narrow(self, fault):
        self.links.set_rate(fault.nodes[0], fault.value)
        time.sleep(fault.duration)
        self.links.set_rate(fault.nodes[0])

    # Instances

    def instance(self, node):
        return next(runner for runner in self.deployment.runners if runner.name == node)

    def instance_delay(self, instance, fault):
        self.rule(fault, (instance.name, ANY), (ANY, instance.name), delay_s=fault.value)

    def instance_silence(self, instance, fault):
        self.rule(fault, (instance.name, ANY), (ANY, instance.name), is_blocked=True)

    def instance_reset(self, instance, _fault):
        self.links.reset(instance.name)

    def instance_refuses(self, instance, fault):
        instance.is_refusing = True
        time.sleep(fault.duration)
        instance.is_refusing = False

    def instance_breaks_streams(self, instance, fault):
        instance.is_breaking = True
        time.sleep(fault.duration)
        instance.is_breaking = False

    def instance_restarts(self, instance, fault):
        """The instance crashes, and starts again under its id, at times with another version."""
        with instance.change() as is_free:
            if not is_free:
                return
            instance.exit()
            is_other_version = fault.value < 0.5
            time.sleep(max(fault.duration, START_S) if is_other_version else fault.duration)
            # Its entry in the store may be late.
            instance.start(OTHER_VERSION[instance.version] if is_other_version else instance.version, keeps_id=True,
                           registers_after_s=REGISTRATION_S if fault.value < 0.25 else 0)

    def domain_crashes(self, fault):
        """All instances of a failure domain crash at one moment, and are back after a while."""
        with contextlib.ExitStack() as changes:
            crashed = [instance for instance in self.deployment.runners
                       if instance.name in fault.nodes and changes.enter_context(instance.change())]
            # At one moment: none accepts a connection any more when the first stream breaks.
            for instance in crashed:
                instance.stop_accepting()
            for instance in crashed:
                instance.exit()
            time.sleep(max(fault.duration, START_S))
            for instance in crashed:
                instance.start(instance.version, keeps_id=True)

    def drain(self, instance, fault):
        with instance.change() as is_free:
            if not is_free:
                return
            instance.register("draining")
            time.sleep(fault.duration)
            instance.register()

    def roll(self, fault):
        """Replaces the engines one after the other by processes of another version: by the new one, or, in a roll-back, half of
        them by the new one and these by the old one again."""
        engines = [runner for runner in self.deployment.runners if runner.service == "llm"]
        target = OTHER_VERSION[engines[0].version]
        if fault.kind == "roll out":
            steps = [(engine, target) for engine in engines]
        else:
            half = engines[:max(1, len(engines) // 2)]
            steps = [(engine, target) for engine in half] + [(engine, OTHER_VERSION[target]) for engine in half]
        for number, (engine, version) in enumerate(steps):
            with engine.change() as is_free:
                if is_free and engine.version != version:
                    self.replace(engine, version, (fault.value * 7 + number * 0.37) % 1)

    @staticmethod
    def replace(engine, version, how):
        engine.leave(is_in_store=how < 0.7)
        until = time.monotonic() + LEAVING_S
        while time.monotonic() < until or (engine.running and time.monotonic() < until + LEAVING_S):
            time.sleep(0.05)
        engine.exit()
        engine.store.remove("servers", engine.id)
        time.sleep(START_S)
        engine.start(version, keeps_id=how < 0.3)

    # Processes

    def process(self, fault):
        return self.deployment.processes[fault.nodes[0]]

    def kill(self, fault):
        self.process(fault).kill()
        time.sleep(fault.duration)
        self.deployment.restart(fault.nodes[0])

    def kill_gateways(self, fault):
        for name in fault.nodes:
            self.deployment.processes[name].kill()
        time.sleep(fault.duration)
        in_parallel([lambda name=name: self.deployment.restart(name) for name in fault.nodes])

    def empty_disk(self, fault):
        self.process(fault).kill()
        shutil.rmtree(self.deployment.disk(fault.nodes[0]), ignore_errors=True)
        time.sleep(fault.duration)
        self.deployment.restart(fault.nodes[0])

    def freeze(self, fault):
        self.process(fault).signal(signal.SIGSTOP)
        time.sleep(fault.duration)
        self.process(fault).signal(signal.SIGCONT)

    def stop(self, fault):
        code = self.process(fault).terminate(30)
        if code != 0:
            raise CaseFailed(f"exit code {code} after SIGTERM")
        time.sleep(fault.duration / 4)
        self.deployment.restart(fault.nodes[0])

    def reload(self, fault):
        self.process(fault).signal(signal.SIGHUP)

    def settings(self, fault):
        self._change_settings(fault, "[placement]\nmax_load = 1.4\n" if "gateway" in fault.nodes[0] else "")

    def wrong_settings(self, fault):
        self._change_settings(fault, "[placemnt]\nmax_load = 1.4\n")

    def _change_settings(self, fault, more):
        path = self.deployment.folder / f"{fault.nodes[0]}.toml"
        text = path.read_text()
        path.write_text(text + more)
        time.sleep(max(1.5, fault.duration))
        path.write_text(text)

    def configuration(self, fault):
        self.deployment.change_configuration(route(f"other-{fault.value:.4f}", "safe", "app"))

    # Store

    def store_fault(self, fault):
        store = self.deployment.store
        store.refusal = 503 if fault.kind == "store refuses" else None
        store.loses_answers = fault.kind == "store loses answers"
        if fault.kind == "store silent":
            store.can_answer.clear()
        time.sleep(fault.duration)
        store.refusal = None
        store.loses_answers = False
        store.can_answer.set()
