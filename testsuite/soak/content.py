"""What an instance answers to a request. It follows from the request's id alone, so that callers can tell a whole answer of
their own from any other."""

import random

TOKENS_PER_EVENT = 10
MAX_EVENTS = 12
MAX_TURN_TOKENS = MAX_EVENTS * TOKENS_PER_EVENT


class Plan:
    """The answer to one request, and how long an instance takes for it."""

    def __init__(self, request):
        chance = random.Random(f"content {request}")
        is_long = chance.random() < 0.1
        self.pause_s = chance.uniform(0.1, 0.25) if is_long else chance.uniform(0.0, 0.03)
        self.data = [b"%s-%d-%s" % (request.encode(), number, b"x" * chance.randint(0, 1500))
                     for number in range(1, chance.randint(2, MAX_EVENTS) + 1)]
        size = 400_000 if chance.random() < 0.02 else chance.randint(0, 30_000)
        self.plain_body = b"answer to %s %s end" % (request.encode(), b"y" * size)

    def events(self):
        return [b"id: %d\ndata: %s\n\n" % (number, data) for number, data in enumerate(self.data, start=1)]

    def stream_body(self):
        return b"".join(self.events())

    def output(self):
        """What a retained turn adds to the prompt of the turns that continue it, after its own input."""
        return b"".join(data + b"\n" for data in self.data)

    def tokens(self):
        return len(self.data) * TOKENS_PER_EVENT
