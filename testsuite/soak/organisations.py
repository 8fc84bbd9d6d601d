"""The organisations of the soak: their keys and allowances, when the store confirmed which of them, and the checks of what
instances and callers see of them."""

import collections
import random
import time

from platform_standins import organisation

# `keys.max_config_age_ms` of the gateways: a key that is taken away works at no gateway for longer.
REVOKE_S = 5.0
# The window of allowances, the part and the number of calls that may exceed them, and when a lowered one is in force.
WINDOW_S = 5.0
ALLOWED_OVER = 0.1
ALLOWED_SLACK = 20
LOWERED_AFTER_S = 3.0
# Calls a second, and burst. Usual calls need the rate divided by 1.6.
ALLOWANCE = (12.0, 6.0)
LOWERED_ALLOWANCE = (4.0, 2.0)
USUAL_RATE = ALLOWANCE[0] / 1.6
LIMITED = "south"
# The keys that all configurations hold. Ordinary callers use those of the organisations without an allowance.
STEADY = {"north": ("key-north-1", "key-north-2"), "west": ("key-west-1", "key-west-2"), LIMITED: ("key-south-1",)}
# The keys that are taken away at times.
LENT = {"key-lent-1": "north", "key-lent-2": "west"}
NEVER_HELD = ("", "key-unknown", "KEY-NORTH-1")
HOLDERS = dict(LENT, **{key: name for name, keys in STEADY.items() for key in keys})
UNLIMITED = [name for name in STEADY if name != LIMITED]
FORGED_PART = 0.1
PUBLIC = "open"


def usual_key(program, request):
    """Returns the key of an ordinary call. All calls of a program are of one organisation."""
    return random.Random(f"key {request}").choice(STEADY[random.Random(f"organisation {program}").choice(UNLIMITED)])


def is_usual(request):
    """Whether nothing about its organisation is a reason to refuse a request."""
    return HOLDERS.get(request.key) in UNLIMITED and request.key not in LENT and not request.owner


def key_headers(request):
    headers = {"Authorization": f"Token {request.key}"} if request.key else {}
    chance = random.Random(f"forged {request.name}")
    return dict(headers, Tenant=chance.choice(list(STEADY))) if chance.random() < FORGED_PART else headers


class Organisations:
    """What the configuration in force says about organisations, and since when. Thread safety: synchronised by the
    deployment's lock of the configuration."""

    def __init__(self):
        self.taken = set()
        self.allowance = ALLOWANCE
        # How many times its usual calls the organisation with the allowance sends.
        self.heat = 1.0
        # (before the configuration was put, when the store had confirmed it, keys, allowance)
        self.history = []

    def entries(self):
        lent = {name: [key for key, holder in LENT.items() if holder == name and key not in self.taken] for name in STEADY}
        keys = {name: [*steady, *lent[name]] for name, steady in STEADY.items()}
        # A key of two organisations belongs to the first.
        keys[LIMITED].append(STEADY["west"][1])
        rate, burst = self.allowance
        return [organisation(name, keys[name], **({"rate_per_s": rate, "burst": burst} if name == LIMITED else {}))
                for name in keys]

    def on_put(self, began):
        """The store has confirmed a configuration with `entries()`."""
        keys = set(HOLDERS) - self.taken
        self.history.append((began, time.monotonic(), keys, self.allowance))

    def held(self, key):
        """Returns the times in which configurations held a key, each from before it was put until the store had confirmed one
        without the key."""
        spans = []
        for began, confirmed, keys, _ in list(self.history):
            if key in keys:
                if not spans or spans[-1][1] < float("inf"):
                    spans.append([began, float("inf")])
            elif spans and spans[-1][1] == float("inf"):
                spans[-1][1] = confirmed
        return spans

    def may_run(self, key, sent_at, now):
        return any(began <= now and sent_at <= ended + REVOKE_S for began, ended in self.held(key))

    def allowances(self, store_unread):
        """Returns (from, until, rate, burst) of each allowance. One that was lowered ends some seconds after the store confirmed that,
        and after the store could be asked."""
        spans = []
        for began, confirmed, _, allowance in self.history:
            if spans and spans[-1][2:] == list(allowance):
                continue
            if spans:
                spans[-1][1] = after_faults(confirmed, store_unread) + LOWERED_AFTER_S
            spans.append([began, float("inf"), *allowance])
        return spans


def after_faults(at, faults):
    """Returns when no fault has been in force since `at` for the time after which a lowered allowance binds."""
    for began, ended in sorted(faults):
        if began <= at + LOWERED_AFTER_S and ended > at:
            at = ended
    return at


def limit_of(rate, burst):
    return (rate * WINDOW_S + burst) * (1 + ALLOWED_OVER) + ALLOWED_SLACK


class OrganisationChecks:
    """Called by the judge, which synchronises."""

    def __init__(self, violate):
        self.violate = violate
        self.organisations = Organisations()
        # Check to the number of calls that it was applied to.
        self.reached = collections.Counter()
        # (sent, begun at an instance) of the calls of the organisation with an allowance.
        self.limited_calls = {}
        # (calls, limit) of the fullest window.
        self.fullest = (0, 0.0)

    # Callers

    def on_send(self, request, previous):
        """Notes whose turn it is that a request of another organisation continues."""
        if previous and HOLDERS.get(previous.key) != HOLDERS.get(request.key):
            request.owner = HOLDERS.get(previous.key)

    def on_end(self, request):
        is_steady = request.key in HOLDERS and request.key not in LENT
        if is_steady or request.kind == PUBLIC:
            self.reached["calls with keys that are always held, or without need of one"] += 1
            if request.status == 401:
                self.violate("a key that all configurations hold is not refused",
                             f"{request.kind} at {request.gateway}, answered 401", request.name)
        elif self._is_revoked(request):
            self.reached["calls after the bound with keys taken away"] += 1
        elif request.key not in HOLDERS:
            self.reached["calls with keys never held"] += 1
        if request.owner:
            self.reached["continuations of another organisation's turn"] += 1
            if request.status not in (0, 404, 503):
                self.violate("another organisation's turn is answered as not found",
                             f"continued {request.previous} of {request.owner} with a key of {HOLDERS.get(request.key)}, answered "
                             f"{request.status}", request.name)
        if HOLDERS.get(request.key) == LIMITED:
            self.reached["calls over the allowance (429)"] += request.status == 429

    def _is_revoked(self, request):
        return request.key in LENT and not self.organisations.may_run(request.key, request.sent_at, request.sent_at)

    # Instances

    def on_arrival(self, name, instance, headers):
        self.reached["calls searched for keys at instances"] += 1
        shown = [field for field, value in headers.items()
                 if field.lower() == "authorization" or any(key in value for key in HOLDERS)]
        if shown:
            self.violate("an instance never sees a key", f"{instance} received one in {shown}", name)

    def on_run(self, request, instance, headers):
        expected = HOLDERS.get(request.key)
        shown = headers.get("Tenant")
        self.reached["organisations at instances compared"] += 1
        # On the public route a key that is taken away makes a call one of no organisation.
        if shown != expected and not (request.kind == PUBLIC and request.key in LENT and shown is None):
            self.violate("an instance is shown the organisation that holds the caller's key",
                         f"{instance} was shown {shown}, not {expected}", request.name)
        if request.owner:
            self.violate("another organisation's turn never runs", f"continued {request.previous}, ran at {instance}", request.name)
        if request.kind != PUBLIC:
            self._check_key(request, instance)
        if expected == LIMITED:
            self.limited_calls.setdefault(request.name, (request.sent_at, time.monotonic()))

    def _check_key(self, request, instance):
        if request.key not in HOLDERS:
            self.violate("a call with a key that no configuration held never runs", f"ran at {instance}", request.name)
        elif not self.organisations.may_run(request.key, request.sent_at, time.monotonic()):
            late_s = request.sent_at - max((ended for _, ended in self.organisations.held(request.key)), default=0)
            self.violate("no call runs that was sent later than the bound after its key was taken away",
                         f"{request.kind} at {request.gateway}, {late_s:.3f} s after the store confirmed that, ran at {instance}",
                         request.name)
        elif request.key in LENT:
            self.reached["calls that ran with keys taken away at times"] += 1

    # End

    def finish(self, store_unread):
        """Checks the calls of each window that begins when a call was sent. `store_unread`: when no journal could read the store."""
        allowances = self.organisations.allowances(store_unread)
        calls = sorted((sent, begun, name) for name, (sent, begun) in self.limited_calls.items())
        for number, (start, _, name) in enumerate(calls):
            count = 0
            for sent, begun, _ in calls[number:]:
                if sent > start + WINDOW_S:
                    break
                count += begun <= start + WINDOW_S
            limit = max(limit_of(rate, burst) for began, ended, rate, burst in allowances
                        if began <= start + WINDOW_S and ended > start)
            self.reached["windows of the allowance"] += 1
            if not self.fullest[1] or count / limit > self.fullest[0] / self.fullest[1]:
                self.fullest = (count, limit)
            if count > limit:
                self.violate("an organisation's calls stay within its allowance",
                             f"{count} sent and begun within {WINDOW_S} s, allowed {limit:.1f}", name)
                return

    def report(self):
        counts = "; ".join(f"{count} {check}" for check, count in sorted(self.reached.items()))
        return f"  organisations: {counts}; fullest window {self.fullest[0]} of {self.fullest[1]:.1f}"
