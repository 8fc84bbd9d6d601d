"""A program is opened at one entry, called at another, recorded in a plain service, and ended."""

import json

from harness import System, call, expect, http, open_program, start_small_system


def run(build):
    with System(build) as system:
        start_small_system(system)
        first, second, third = system.caller_addresses()
        program = open_program(first)[1]

        status, _, answer = call(second, program, {"input": "tank history of batch 7", "max_tokens": 20, "turn": 1})
        expect(status == 200 and answer["turn"] == 1 and answer["output"], f"the first call returned {status} {answer}")
        again = call(third, program, {"input": "tank history of batch 7", "max_tokens": 20, "turn": 1})[2]
        expect(again["output"] == answer["output"] and again["head"] == answer["head"],
               "a repeated turn did not get the stored answer")

        slip = {"input": "slip 7", "service": "jobcard-app", "idempotent": False, "head": answer["head"]}
        for address in (first, second, third):
            status, _, record = call(address, program, slip, {"Idempotency-Key": "slip-7"})
            expect(status == 200, f"the record returned {status} {record}")
        expect(system.ledger() == [{"body": "slip 7", "key": "slip-7"}],
               f"the record is not written exactly once: {system.ledger()}")

        stream = http("POST", first, f"/v1/programs/{program}/calls", {"input": "and now?", "max_tokens": 5},
                      {"Accept": "text/event-stream"})[2]
        expect("event: tokens" in stream and stream.count("event: done") == 1, f"unexpected stream: {stream}")

        status, _, body = http("GET", second, f"/v1/programs/{program}")
        expect(status == 200 and json.loads(body)["turn"] == 3, f"the lookup returned {status} {body}")
        status = http("DELETE", third, f"/v1/programs/{program}")[0]
        expect(status == 200, f"ending the program returned {status}")
        status, _, problem = call(first, program, {"input": "late"})
        expect(status == 410 and problem["ran"] == "no", f"a call after the end returned {status} {problem}")
