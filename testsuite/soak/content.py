"""What an instance answers to a request. It follows from the request's id alone, but for the software version that each event
names, so that callers can tell a whole answer of their own from any other."""

import random
import re

TOKENS_PER_EVENT = 10
MAX_EVENTS = 12
MAX_TURN_TOKENS = MAX_EVENTS * TOKENS_PER_EVENT
# The part of the requests that an instance fails after it has run them.
FAILURES = 0.01
VERSION = re.compile(rb"@(v\d+)(?=\n)")


def versions_in(text):
    """Returns the software versions that wrote these events."""
    return set(VERSION.findall(text))


def without_versions(text):
    return VERSION.sub(b"", text)


def whole_events(body):
    """Returns the part of a body up to the end of its last whole event, and the number of events in it."""
    end = body.rfind(b"\n\n") + 2 if b"\n\n" in body else 0
    return body[:end], body[:end].count(b"\n\n")


def output_in(body):
    """Returns what a retained turn with this body adds to the prompt of the turns that continue it, after its own input."""
    return b"".join(line[len(b"data: "):] + b"\n" for line in body.split(b"\n") if line.startswith(b"data: "))


def failure_of(request, instance):
    """Returns the status with which the instance fails after it has run the request, which tells callers that it has not run; 0
    for most requests."""
    chance = random.Random(f"failure {request} {instance}")
    return chance.choice((408, 429, 503)) if chance.random() < FAILURES else 0


class Plan:
    """The answer to one request, and how long an instance takes for it."""

    def __init__(self, request):
        chance = random.Random(f"content {request}")
        is_long = chance.random() < 0.1
        # The answer has neither a length nor chunks, and ends with its connection.
        self.is_unframed = chance.random() < 0.1
        self.pause_s = chance.uniform(0.1, 0.25) if is_long else chance.uniform(0.0, 0.03)
        self.data = [b"%s-%d-%s" % (request.encode(), number, b"x" * chance.randint(0, 1500))
                     for number in range(1, chance.randint(2, MAX_EVENTS) + 1)]
        size = 400_000 if chance.random() < 0.02 else chance.randint(0, 30_000)
        self.plain_body = b"answer to %s %s end" % (request.encode(), b"y" * size)

    def events(self, version=None):
        mark = b"@" + version.encode() if version else b""
        return [b"id: %d\ndata: %s%s\n\n" % (number, data, mark) for number, data in enumerate(self.data, start=1)]

    def stream_body(self, after=0):
        """The events after the first `after`, without versions."""
        return b"".join(self.events()[after:])
