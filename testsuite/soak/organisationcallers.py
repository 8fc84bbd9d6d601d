"""Callers that show keys which are taken away at times or were never held, that call the public route, that continue turns of
other organisations, and that exceed their allowance."""

import random
import time

from callers import AMPLE_BUDGET, Caller
from organisations import HOLDERS, LENT, LIMITED, NEVER_HELD, PUBLIC, STEADY, UNLIMITED, USUAL_RATE

LIMITED_CALLERS = 8
# Callers beside these for each so many ordinary ones.
ORDINARY_CALLERS = 3


def organisation_callers(callers, seed, count):
    others = [KeyCaller(callers, random.Random(f"keys {seed} {number}")) for number in range(max(1, count // ORDINARY_CALLERS))]
    return others + [LimitedCaller(callers, random.Random(f"limited {seed} {number}")) for number in range(LIMITED_CALLERS)]


class KeyCaller(Caller):
    """A caller with all kinds of keys."""

    def run(self):
        activities = [self.lent] * 4 + [self.never_held, self.public, self.foreign_turn]
        while not self.callers.stopping.is_set():
            self.chance.choice(activities)()
            time.sleep(self.chance.uniform(0, 0.1))

    def any_call(self, key):
        if self.chance.random() < 0.3:
            return self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, key=key)
        return self.chance.choice([self.stream, self.read, self.read, self.write])(key=key)

    def lent(self):
        key = self.chance.choice(list(LENT))
        own = [turn for turn in self.callers.kept_turns(1) if turn.holder == LENT[key]]
        if own and self.chance.random() < 0.2:
            turn = self.chance.choice(own)
            return self.turn(turn.program, AMPLE_BUDGET, turn, key=key)
        return self.any_call(key)

    def never_held(self):
        self.any_call(self.chance.choice(NEVER_HELD))

    def public(self):
        self.read(kind=PUBLIC, key=self.chance.choice([*NEVER_HELD, *HOLDERS]))

    def foreign_turn(self):
        turns = self.callers.kept_turns(1)
        if turns:
            turn = self.chance.choice(turns)
            other = self.chance.choice([name for name in UNLIMITED if name != turn.holder])
            self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, turn, key=self.chance.choice(STEADY[other]))


class LimitedCaller(Caller):
    """One of the callers of the organisation with an allowance, which sends its part of the calls at a steady rate."""

    def run(self):
        while not self.callers.stopping.is_set():
            interval_s = LIMITED_CALLERS / USUAL_RATE / self.callers.deployment.organisations.heat
            next_at = time.monotonic() + interval_s * self.chance.uniform(0.5, 1.5)
            self.chance.choice([self.read, self.read, self.write, self.stream, self.first_turn])(key=STEADY[LIMITED][0])
            # Short pauses notice early that the organisation becomes hot.
            while time.monotonic() < next_at and not self.callers.stopping.is_set():
                time.sleep(min(0.1, max(0.0, next_at - time.monotonic())))

    def first_turn(self, key):
        self.turn(f"p{next(self.callers.numbers)}", AMPLE_BUDGET, key=key)
