"""Callers and faults of organisations: calls with keys that are taken away or never held, turns of others, too many calls."""

import random
import time

from callers import AMPLE_BUDGET, Caller
from faults import Fault, Injector
from organisations import (ALLOWANCE, HOLDERS, LENT, LIMITED, LOWERED_AFTER_S, LOWERED_ALLOWANCE, NEVER_HELD, PUBLIC, REVOKE_S,
                           STEADY, UNLIMITED, USUAL_RATE, WINDOW_S)

# One caller with all kinds of keys for each so many ordinary ones; callers of the organisation with an allowance.
ORDINARY_CALLERS, LIMITED_CALLERS = 3, 8
# One of each of these begins in every such time.
KEY_EVERY_S, HOT_EVERY_S, LOWERED_EVERY_S = 8.0, 12.0, 20.0
# A hot organisation sends so many times its usual calls, for so long.
HEAT, HOT_S = (3.0, 8.0), 6.0
# The part of the keys taken away while a gateway reaches neither the journals nor the store, which refuses others, too.
CUT_OFF_PART = 0.6


def organisation_callers(callers, seed, count):
    others = [KeyCaller(callers, random.Random(f"keys {seed} {number}")) for number in range(max(1, count // ORDINARY_CALLERS))]
    return others + [LimitedCaller(callers, random.Random(f"limited {seed} {number}")) for number in range(LIMITED_CALLERS)]


class KeyCaller(Caller):
    def run(self):
        activities = [*[lambda: self.any_call(self.chance.choice(list(LENT)))] * 4, self.foreign_turn,
                      lambda: self.any_call(self.chance.choice(NEVER_HELD)),
                      lambda: self.read(kind=PUBLIC, key=self.chance.choice([*NEVER_HELD, *HOLDERS]))]
        while not self.callers.stopping.is_set():
            self.chance.choice(activities)()
            time.sleep(self.chance.uniform(0, 0.1))

    def any_call(self, key):
        self.chance.choice([self.first_turn, self.first_turn, self.stream, self.read, self.read, self.write])(key=key)

    def first_turn(self, key):
        self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, key=key)

    def foreign_turn(self):
        turns = self.callers.kept_turns(1)
        if turns:
            turn = self.chance.choice(turns)
            other = self.chance.choice([name for name in UNLIMITED if name != turn.holder])
            self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, turn, key=self.chance.choice(STEADY[other]))


class LimitedCaller(KeyCaller):
    """One of the callers of the organisation with an allowance, which sends its part of the calls at a steady rate."""

    def run(self):
        while not self.callers.stopping.is_set():
            interval_s = LIMITED_CALLERS / USUAL_RATE / self.callers.deployment.organisations.heat
            next_at = time.monotonic() + interval_s * self.chance.uniform(0.5, 1.5)
            self.any_call(STEADY[LIMITED][0])
            self.callers.stopping.wait(max(0.0, next_at - time.monotonic()))


def draw_organisation_faults(seed, seconds, gateways, journals):
    """Returns the faults of organisations in a run, drawn apart from the others of the same seed."""
    chance = random.Random(f"organisations {seed}")
    nodes = [f"gateway-{number + 1}" for number in range(gateways)] + [f"journal-{number + 1}" for number in range(journals)]
    faults = []

    def times(every_s, length_s):
        return [max(0.0, min(seconds - length_s, (number + chance.random()) * every_s))
                for number in range(max(1, int(seconds / every_s)))]

    for at in times(KEY_EVERY_S, 2 * REVOKE_S):
        faults.append(Fault(at, REVOKE_S * chance.uniform(1.2, 2), "key taken", (chance.choice(list(LENT)),), 0, True))
        if chance.random() < CUT_OFF_PART:
            chosen = list(dict.fromkeys(
                [chance.choice(nodes[:gateways]), *chance.sample(nodes, chance.randint(1, len(nodes) // 2))]))
            faults += [Fault(max(0.0, at - 0.2), REVOKE_S * chance.uniform(1.2, 2), kind, names)
                       for kind, names in (("isolate", chosen[:1]), ("refusal", ("of", *chosen)))]
    lowered = times(LOWERED_EVERY_S, LOWERED_AFTER_S + WINDOW_S + HOT_S)
    faults += [Fault(at, LOWERED_AFTER_S + WINDOW_S + HOT_S, "allowance lowered", (LIMITED,), 0, True) for at in lowered]
    hot = [at + LOWERED_AFTER_S for at in lowered]
    for at in hot + [at for at in times(HOT_EVERY_S, HOT_S) if all(abs(at - other) > HOT_S for other in hot)]:
        faults.append(Fault(at, HOT_S, "hot organisation", ("callers",), chance.uniform(*HEAT), True))
    return faults


class OrganisationInjector(Injector):
    """Also injects these. Their first nodes name no process, so that processes bear other faults at the same time."""

    def key_taken(self, fault):
        self.change(fault, lambda state: state.taken.add(fault.nodes[0]), lambda state: state.taken.discard(fault.nodes[0]))

    def allowance_lowered(self, fault):
        self.change(fault, lambda state: setattr(state, "allowance", LOWERED_ALLOWANCE),
                    lambda state: setattr(state, "allowance", ALLOWANCE))

    def change(self, fault, begin, end):
        self.deployment.change_configuration(change=begin)
        time.sleep(fault.duration)
        self.deployment.change_configuration(change=end)

    def hot_organisation(self, fault):
        self.deployment.organisations.heat = fault.value
        time.sleep(fault.duration)
        self.deployment.organisations.heat = 1.0

    def refusal(self, fault):
        for is_refusing in (True, False):
            for name in fault.nodes[1:]:
                self.deployment.doors[name].is_refusing = is_refusing
            time.sleep(fault.duration if is_refusing else 0)
