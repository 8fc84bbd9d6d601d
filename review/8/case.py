"""A turn whose stream is taken up again after its channel was reset, and the turn that continues it."""

import http.client
import os
import pathlib
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform2 import CannotRun, Deployment, main, send, standins  # noqa: E402

ROUTES = [standins.route("chat", "streaming", "llm", sticky=True, can_resume=True, retain=True, retain_s=60.0,
                         timeout_ms=6000, goal_ms=1000, attempts=2, gap_target_ms=1000)]
OUTPUT = b"".join(b"d%d\n" % number for number in range(1, standins.EVENTS + 1))


def runners(store):
    return [standins.Runner(store, "llm", f"llm-{number}", zone, slots=16) for number, zone in enumerate("abc", 1)]


def headers(request, **more):
    fields = {"Host": standins.HOST, "Request-Id": request, "Deadline-Ms": "6000", "Model": "m", "Program-Id": "p",
              "Session-Id": "s", "Finish-Ms": "60000", "Token-Budget": "1000", "Token-Counts": "100,40"}
    fields.update({name.replace("_", "-"): value for name, value in more.items()})
    return fields


def first_events(gateway, request, count):
    """Sends a turn, reads that many events of its stream, and resets the channel, as the platform may."""
    connection = http.client.HTTPConnection(gateway.address("front"), timeout=6)
    connection.request("POST", "/chat/x", b"one ", headers(request))
    answer = connection.getresponse()
    text = b""
    while answer.status == 200 and text.count(b"\n\n") < count:
        part = answer.read1(65536)
        if not part:
            break
        text += part
    connection.sock and connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    answer.close()
    connection.close()
    return answer.status, text


def data_of(text):
    return b"".join(line[6:] + b"\n" for line in text.split(b"\n") if line.startswith(b"data: "))


def play(record, has_trouble):
    with Deployment(standins.configuration(1, ROUTES), runners) as deployment:
        first, second = deployment.gateways
        time.sleep(1)
        if has_trouble:
            # The runners wait before the last event, so that the stream is under way when its channel is reset.
            for runner in deployment.runners:
                runner.can_finish.clear()
            status, text = first_events(first, "r1", standins.EVENTS - 1)
            record.note(f"r1, the turn, by {first.name}: {status}, {text!r}; the channel is reset")
            if text.count(b"\n\n") != standins.EVENTS - 1:
                raise CannotRun("the stream did not begin")
            time.sleep(0.5)
            for runner in deployment.runners:
                runner.can_finish.set()
            last = f"{standins.EVENTS - 1}"
            fields = headers("r2", Last_Event_Id=last, Resumes="r1")
            status, _, rest, is_whole = send(second, "POST", "/chat/x", fields, b"one ")
            record.note(f"r2, which takes the stream up after event {last}, by {second.name}: {status}, {rest!r}, "
                        f"{'whole' if is_whole else 'broken off'}")
            answered = "r2"
            text += rest
        else:
            status, _, text, is_whole = send(first, "POST", "/chat/x", headers("r1"), b"one ")
            record.note(f"r1, the turn, by {first.name}: {status}, {text!r}, {'whole' if is_whole else 'broken off'}")
            answered = "r1"
        if status != 200 or not is_whole or data_of(text) != OUTPUT:
            raise CannotRun("the turn was not answered whole")
        status, _, _, _ = send(first, "POST", "/chat/x", headers("r3", Previous_Turn=answered), b"two ")
        bodies = [body for runner in deployment.runners for name, body, _ in runner.executed_calls if name == "r3"]
        record.note(f"r3, which continues {answered}, by {first.name}: {status}; the runner got {bodies}")
        expected = b"one " + OUTPUT + b"two "
        record.note(f"due is {expected}")
        if not bodies:
            raise CannotRun("the next turn has not run")
        if bodies[0] != expected:
            return f"UNASKED: the runner got {bodies[0]} in place of {expected}"
        return None


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    sys.exit(main(__file__, play, os.environ.get("TROUBLE", "1") != "0"))
