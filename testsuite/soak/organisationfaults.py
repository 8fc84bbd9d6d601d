"""Draws and injects the faults of organisations: keys taken away and given back, lowered allowances, a hot organisation, and a
store that refuses some processes meanwhile."""

import random
import time

from faults import Fault, Injector

from organisations import ALLOWANCE, LENT, LIMITED, LOWERED_ALLOWANCE, LOWERED_AFTER_S, REVOKE_S, WINDOW_S

KINDS = ("key taken", "allowance lowered", "hot organisation", "store-refusal")
# One of each of these begins in every such time.
KEY_EVERY_S = 8.0
HOT_EVERY_S = 12.0
LOWERED_EVERY_S = 20.0
# How long calls are made with a key after its bound.
AFTER_BOUND_S = (1.0, 5.0)
# A hot organisation sends so many times its usual calls, for so long.
HEAT = (3.0, 8.0)
HOT_S = 6.0
# The part of the keys taken away while the store refuses some processes.
REFUSED_PART = 0.6


def draw(seed, seconds, gateways, journals):
    """Returns the faults of organisations in a run, drawn apart from the others of the same seed."""
    chance = random.Random(f"organisations {seed}")
    faults = []

    def times(every_s, length_s):
        for number in range(max(1, int(seconds / every_s))):
            yield max(0.0, min(seconds - length_s, (number + chance.random()) * every_s))

    for at in times(KEY_EVERY_S, REVOKE_S + AFTER_BOUND_S[1]):
        faults.append(Fault(at, REVOKE_S + chance.uniform(*AFTER_BOUND_S), "key taken", (chance.choice(list(LENT)),), 0, True))
        if chance.random() < REFUSED_PART:
            faults.append(draw_refusal(chance, max(0.0, at - chance.random()), gateways, journals))
    for at in times(HOT_EVERY_S, HOT_S):
        faults.append(Fault(at, HOT_S, "hot organisation", (LIMITED,), chance.uniform(*HEAT), True))
    for at in times(LOWERED_EVERY_S, LOWERED_AFTER_S + WINDOW_S + HOT_S):
        length_s = LOWERED_AFTER_S + WINDOW_S + chance.uniform(1, HOT_S)
        faults.append(Fault(at, length_s, "allowance lowered", (LIMITED,), LOWERED_ALLOWANCE[0], True))
        faults.append(Fault(at + LOWERED_AFTER_S, HOT_S, "hot organisation", (LIMITED,), chance.uniform(*HEAT), True))
    return faults


def draw_refusal(chance, at, gateways, journals):
    """Some processes, or up to all journals, get no answer but refusals from the store."""
    nodes = [f"gateway-{number}" for number in range(1, gateways + 1)]
    nodes += [f"journal-{number}" for number in range(1, journals + 1)] * 2
    chosen = sorted(set(chance.sample(nodes, chance.randint(1, max(2, len(nodes) // 2)))))
    return Fault(at, chance.uniform(2, REVOKE_S + 2), "store-refusal", tuple(chosen))


class OrganisationInjector(Injector):
    """Injects the faults of organisations, too."""

    def busy_key(self, fault):
        # Other faults of the same processes go on.
        return (fault.kind, fault.kind == "key taken" and fault.nodes[0]) if fault.kind in KINDS else super().busy_key(fault)

    def key_taken(self, fault):
        self.deployment.change_organisations(lambda organisations: organisations.taken.add(fault.nodes[0]))
        time.sleep(fault.duration)
        self.deployment.change_organisations(lambda organisations: organisations.taken.discard(fault.nodes[0]))

    def allowance_lowered(self, fault):
        self.deployment.change_organisations(lambda organisations: setattr(organisations, "allowance", LOWERED_ALLOWANCE))
        time.sleep(fault.duration)
        self.deployment.change_organisations(lambda organisations: setattr(organisations, "allowance", ALLOWANCE))

    def hot_organisation(self, fault):
        self.deployment.organisations.heat = fault.value
        time.sleep(fault.duration)
        self.deployment.organisations.heat = 1.0

    def store_refusal(self, fault):
        for name in fault.nodes:
            self.deployment.doors[name].is_refusing = True
        time.sleep(fault.duration)
        for name in fault.nodes:
            self.deployment.doors[name].is_refusing = False
