"""The organisations of the soak: their keys and allowances, when configurations with them were in force, and the checks of what
instances and callers see of them."""

import bisect
import collections
import random
import time

from platform_standins import organisation

# `keys.max_config_age_ms` of the gateways: a key that is taken away works at no gateway for longer.
REVOKE_S = 5.0
# The window of allowances, the part and the number of calls that may exceed them, and when a lowered one binds.
WINDOW_S = 5.0
ALLOWED_OVER, ALLOWED_SLACK = 0.1, 20
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
    """What the configuration says about organisations. Changed under the deployment's lock of the configuration."""

    def __init__(self):
        self.taken = set()
        self.allowance = ALLOWANCE
        # How many times its usual calls the organisation with the allowance sends.
        self.heat = 1.0
        # Key or allowance to [before it was put, when the store had confirmed a configuration without it].
        self.in_force = collections.defaultdict(list)

    def entries(self):
        keys = {name: [*steady, *(key for key, holder in LENT.items() if holder == name and key not in self.taken)]
                for name, steady in STEADY.items()}
        # A key of two organisations belongs to the first.
        keys[LIMITED].append(STEADY["west"][1])
        limits = {LIMITED: dict(zip(("rate_per_s", "burst"), self.allowance))}
        return [organisation(name, keys[name], **limits.get(name, {})) for name in keys]

    def on_put(self, began):
        """The store has confirmed a configuration with `entries()`."""
        confirmed = time.monotonic()
        present = set(HOLDERS) - self.taken | {self.allowance}
        for item in present | set(self.in_force):
            spans = self.in_force[item]
            is_open = bool(spans) and spans[-1][1] == float("inf")
            if item in present and not is_open:
                spans.append([began, float("inf")])
            elif item not in present and is_open:
                spans[-1][1] = confirmed

    def may_run(self, key, sent_at, now):
        return any(began <= now and sent_at <= ended + REVOKE_S for began, ended in self.in_force.get(key, ()))

    def limit(self, start, store_unread):
        """Returns how many calls may be sent and begun in a window. A lowered allowance binds some seconds after the store
        confirmed it and its followers could read it."""
        return max((rate * WINDOW_S + burst) * (1 + ALLOWED_OVER) + ALLOWED_SLACK
                   for rate, burst in (ALLOWANCE, LOWERED_ALLOWANCE) for began, ended in self.in_force.get((rate, burst), ())
                   if began <= start + WINDOW_S and read_at(ended, store_unread) + LOWERED_AFTER_S > start)


def read_at(confirmed, store_unread):
    """Returns from when on the store has been readable, if that was interrupted in the time after which an allowance binds."""
    for began, ended in sorted(store_unread):
        if began <= confirmed + LOWERED_AFTER_S and ended > confirmed:
            confirmed = ended
    return confirmed


class OrganisationChecks:
    """Called by the judge, which synchronises."""

    def __init__(self, violate):
        self.violate = violate
        self.organisations = Organisations()
        # Check to the number of calls or windows that it was applied to.
        self.reached = collections.Counter()
        # Calls of the organisation with an allowance: when they were sent; (sent, begun at an instance) of those that ran.
        self.offered, self.limited_runs = [], {}
        # (calls, limit) of the fullest window.
        self.fullest = (0, 1.0)

    def on_send(self, request, previous):
        if previous and HOLDERS.get(previous.key) != HOLDERS.get(request.key):
            request.owner = HOLDERS.get(previous.key)
        if HOLDERS.get(request.key) == LIMITED:
            self.offered.append(request.sent_at)

    def on_end(self, request):
        if request.kind == PUBLIC or request.key in HOLDERS and request.key not in LENT:
            self.reached["not to be answered 401"] += 1
            if request.status == 401:
                self.violate("a key that all configurations hold is not refused", f"at {request.gateway}", request.name)
        elif request.key not in HOLDERS:
            self.reached["with keys never held"] += 1
        elif not self.organisations.may_run(request.key, request.sent_at, request.sent_at):
            self.reached["with keys taken away longer than the bound"] += 1
        if request.owner:
            self.reached["that continue another organisation's turn"] += 1
            if request.status not in (0, 404, 503):
                self.violate("another organisation's turn is answered as not found",
                             f"{request.previous} of {request.owner}, answered {request.status}", request.name)

    def on_arrival(self, name, instance, headers):
        self.reached["searched for keys"] += 1
        shown = [field for field, value in headers.items()
                 if field.lower() == "authorization" or any(key in value for key in HOLDERS)]
        if shown:
            self.violate("an instance never sees a key", f"{instance} received one in {shown}", name)

    def on_run(self, request, instance, headers):
        self.reached["whose organisation is compared"] += 1
        holder, shown = HOLDERS.get(request.key), headers.get("Tenant")
        # On the public route a key that is taken away makes a call one of no organisation.
        if shown != holder and not (request.kind == PUBLIC and request.key in LENT and shown is None):
            self.violate("an instance is shown the organisation that holds the caller's key",
                         f"{instance} was shown {shown}, not {holder}", request.name)
        if request.owner:
            self.violate("another organisation's turn never runs", f"{request.previous}, ran at {instance}", request.name)
        if request.kind != PUBLIC and request.key not in HOLDERS:
            self.violate("a call with a key that no configuration held never runs", f"ran at {instance}", request.name)
        elif request.kind != PUBLIC and not self.organisations.may_run(request.key, request.sent_at, time.monotonic()):
            late_s = request.sent_at - max(ended for _, ended in self.organisations.in_force[request.key])
            self.violate("no call runs that was sent later than the bound after its key was taken away",
                         f"{request.kind} at {request.gateway}, sent {late_s:.3f} s after, ran at {instance}", request.name)
        if holder == LIMITED:
            self.limited_runs.setdefault(request.name, (request.sent_at, time.monotonic()))

    def finish(self, store_unread):
        """Checks the calls of each window that begins when a call was sent."""
        runs = sorted((sent, begun, name) for name, (sent, begun) in self.limited_runs.items())
        offered = sorted(self.offered)
        for number, (start, _, name) in enumerate(runs):
            end = start + WINDOW_S
            count = sum(begun <= end for _, begun, _ in runs[number:bisect.bisect(runs, (end,))])
            limit = self.organisations.limit(start, store_unread)
            asked = bisect.bisect(offered, end) - bisect.bisect_left(offered, start)
            self.reached["windows with more sent than allowed"] += asked > limit
            self.fullest = max(self.fullest, (count, limit), key=lambda window: window[0] / window[1])
            if count > limit:
                self.violate("an organisation's calls stay within its allowance", f"{count} of {limit:.1f}", name)

    def report(self):
        counts = ", ".join(f"{count} {check}" for check, count in sorted(self.reached.items()))
        return f"  calls, by checks of organisations: {counts}; fullest window {self.fullest[0]} of {self.fullest[1]:.1f}"
