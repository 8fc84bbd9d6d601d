"""A program is opened at one entry, called at another, recorded in a plain service, and ended."""

import json

from harness import System, call, expect, http, open_program, start_small_system


def run(build):
    with System(build) as system:
        start_small_system(system)
        first, second, third = system.callers()
        program = open_program(first)[1]

        status, _, answer = call(second, program, {"input": "tank history of batch 7", "max_tokens": 20, "turn": 1})
        expect(status == 200 and answer["turn"] == 1 and answer["output"], f"first call: {status} {answer}")
        again = call(third, program, {"input": "tank history of batch 7", "max_tokens": 20, "turn": 1})[2]
        expect(again["output"] == answer["output"] and again["head"] == answer["head"], "a repeat gets the stored answer")

        slip = {"input": "slip 7", "service": "jobcard-app", "idempotent": False, "head": answer["head"]}
        for address in (first, second, third):
            status, _, record = call(address, program, slip, {"Idempotency-Key": "slip-7"})
            expect(status == 200, f"record: {status} {record}")
        expect(system.ledger() == [{"body": "slip 7", "key": "slip-7"}], f"written once: {system.ledger()}")

        stream = http("POST", first, f"/v1/programs/{program}/calls", {"input": "and now?", "max_tokens": 5},
                      {"Accept": "text/event-stream"})[2]
        expect("event: tokens" in stream and stream.count("event: done") == 1, f"stream: {stream}")

        status, _, body = http("GET", second, f"/v1/programs/{program}")
        expect(status == 200 and json.loads(body)["turn"] == 3, f"lookup: {body}")
        status = http("DELETE", third, f"/v1/programs/{program}")[0]
        expect(status == 200, f"end: {status}")
        status, _, problem = call(first, program, {"input": "late"})
        expect(status == 410 and problem["ran"] == "no", f"after the end: {status} {problem}")
