"""Organisations and their keys: who is let in, what instances are told, whose turns can be continued, and that no process
logs a key."""

import socket

from harness import expect, wait_until
from platform_standins import DEFAULT_ROUTES, HOST, Deployment, authorization, configuration, organisation, route

GATEWAYS = ("gateway-1", "gateway-2")
NORTH, NORTH_NEW, SOUTH, UNKNOWN = "key-n-5f1c", "key-n-77ab", "key-s-90d2", "key-u-31e8"
ROUTES = [*DEFAULT_ROUTES, route("open", "safe", "app", public=True)]


def configure(deployment, version, *organisations):
    deployment.store.put("config", "main", configuration(version, ROUTES, list(organisations)))
    for gateway in GATEWAYS:
        wait_until(lambda: f'"event":"configuration","version":{version},' in deployment.log_of(gateway),
                   f"{gateway} has configuration {version}")


def read(deployment, gateway, headers=None, path="/read/1"):
    return deployment.call(gateway, path, headers=headers or {})


def sent_with(deployment, request):
    """Returns the headers with which an instance got a request, or None."""
    return next((headers for runner in deployment.runners for name, _, headers in runner.executed_calls
                 if name == request), None)


def expect_no_secrets(deployment, request):
    headers = sent_with(deployment, request)
    expect("Authorization" not in headers, f"the instance got the key: {headers.items()}")
    return headers


def without_organisations(deployment):
    fields = dict(authorization(NORTH), **{"Tenant": "any", "Request-Id": "before", "X-Kept": "1"})
    expect(read(deployment, "gateway-1", fields).status == 200, "a call is refused though there are no organisations")
    # The order and the values of all fields that earlier versions sent; `Deadline-Ms` shrinks with the time used.
    got = [(name, value) for name, value in sent_with(deployment, "before").items() if name.lower() != "deadline-ms"]
    instance = dict(got)["expect-instance"]
    expected = [("accept-encoding", "identity"), ("authorization", f"Token {NORTH}"), ("expect-instance", instance),
                ("host", HOST), ("request-id", "before"), ("request-priority", "0"), ("tenant", "any"),
                ("x-kept", "1")]
    expect(sorted(got) == expected, f"the instance got other fields than before: {got}")


def keys(deployment):
    for gateway in GATEWAYS:
        name = f"right-{gateway}"
        answer = read(deployment, gateway, dict(authorization(NORTH), **{"Tenant": "south", "Request-Id": name}))
        expect(answer.status == 200, f"the right key is answered {answer.status}")
        expect(expect_no_secrets(deployment, name).get_all("Tenant") == ["north"], "wrong organisation at the instance")
        wrong = [{}, authorization(UNKNOWN), authorization(""), {"Authorization": NORTH},
                 {"Authorization": f"Bearer {NORTH}"}, authorization(NORTH.upper()), {"Tenant": "north"}]
        for number, fields in enumerate(wrong):
            name = f"wrong-{number}-{gateway}"
            answer = read(deployment, gateway, dict(fields, **{"Request-Id": name}))
            expect(answer.status == 401, f"{fields} is answered {answer.status}")
            expect("retry-after" not in answer.headers, f"a wrong key is told to retry: {answer.headers}")
            expect(sent_with(deployment, name) is None, f"a call with {fields} was executed")
        expect(read(deployment, gateway, authorization(UNKNOWN), "/nowhere/").status == 404, "no route is not 404")


def public_routes(deployment):
    for name, fields, expected in (("open-1", {"Tenant": "north"}, None), ("open-2", authorization(UNKNOWN), None),
                                   ("open-3", authorization(SOUTH), "south")):
        answer = read(deployment, "gateway-1", dict(fields, **{"Request-Id": name}), "/open/1")
        expect(answer.status == 200, f"a public route answers {answer.status} to {fields}")
        got = expect_no_secrets(deployment, name).get("Tenant")
        expect(got == expected, f"the instance was told {got}, not {expected}")


def retained_turns(deployment):
    first = deployment.turn("gateway-1", "chain", request="n1", key=NORTH)
    expect(first.status == 200 and first.is_complete, f"a turn with a key is answered {first.status}")
    expect_no_secrets(deployment, "n1")
    for gateway in GATEWAYS:
        again = deployment.turn(gateway, "chain", "n1", request=f"n2-{gateway}", key=NORTH)
        expect(again.status == 200, f"a continued turn is answered {again.status} at {gateway}")
        statuses = {}
        for previous in ("n1", "5:northn1", "never"):
            seen = [deployment.turn(gateway, "thief", previous, key=SOUTH)]
            # After their set has grown, journals cannot confirm that a turn does not exist until they have copied.
            wait_until(lambda: seen[-1].status == 404
                       or seen.append(deployment.turn(gateway, "thief", previous, key=SOUTH)),
                       f"{previous} is answered 404: {[answer.status for answer in seen]}")
            expect({answer.status for answer in seen} <= {404, 503}, "a turn of another organisation was served")
            statuses[previous] = (seen[-1].status, seen[-1].body, sorted(set(seen[-1].headers) - {"request-id"}))
        expect(len(set(map(str, statuses.values()))) == 1, f"an existing turn is told from a missing one: {statuses}")


def control_characters(deployment):
    """The scope of stored turns begins with a character that no caller can send."""
    host, port = deployment.processes["gateway-1"].field("callers").split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(f"POST /turns/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {SOUTH}\r\nRequest-Id: x\r\n"
                           "Previous-Turn: \x1f5:northn1\r\nContent-Length: 0\r\n\r\n".encode())
        status = connection.recv(1000).split(b" ")[1:2]
    expect(status == [b"400"], f"a control character in a header is answered {status}")


def turns_without_owner(deployment):
    answer = deployment.turn("gateway-2", "old", "old-1", key=NORTH)
    expect(answer.status == 503, f"a turn stored before there were organisations is answered {answer.status}")
    expect("retry-after" not in answer.headers, "retrying cannot help, but was asked for")


def changed_keys(deployment):
    configure(deployment, 3, organisation("north", [NORTH, NORTH_NEW]), organisation("south", [SOUTH]))
    for gateway in GATEWAYS:
        for key in (NORTH, NORTH_NEW, SOUTH):
            expect(read(deployment, gateway, authorization(key)).status == 200, "a key of the configuration is refused")
    configure(deployment, 4, organisation("north", [NORTH_NEW]), {"name": "faulty"},
              organisation("south", [SOUTH, NORTH_NEW]))
    for gateway in GATEWAYS:
        expect(read(deployment, gateway, authorization(NORTH)).status == 401, "a removed key is served")
        name = f"new-{gateway}"
        answer = read(deployment, gateway, dict(authorization(NORTH_NEW), **{"Request-Id": name}))
        expect(answer.status == 200, f"the new key is answered {answer.status}")
        expect(sent_with(deployment, name)["Tenant"] == "north", "a shared key does not belong to its first holder")
        again = deployment.turn(gateway, "chain", "n1", key=NORTH_NEW)
        expect(again.status == 200, f"the organisation's other key continues its turn: {again.status}")
        wait_until(lambda: '"event":"key of two organisations","version":4,"holder":"north","ignored_for":"south"'
                   in deployment.log_of(gateway), "the shared key is logged")
        expect('"event":"organisations","version":4,"organisations":2,"left_out":1,"shared_keys":1'
               in deployment.log_of(gateway), "the entry that was left out is not logged")


def expect_no_keys_in_logs(deployment):
    for process in deployment.processes.values():
        process.terminate()
    for name in deployment.processes:
        log = deployment.log_of(name)
        expect(log, f"{name} has logged nothing")
        for key in (NORTH, NORTH_NEW, SOUTH, UNKNOWN):
            expect(key not in log and key.upper() not in log, f"{name} has logged a key")


def run(build):
    with Deployment(build, gateways=2) as deployment:
        without_organisations(deployment)
        old = deployment.turn("gateway-1", "old", request="old-1")
        expect(old.status == 200 and old.is_complete, f"a turn is answered {old.status}")
        configure(deployment, 2, organisation("north", [NORTH]), organisation("south", [SOUTH]))
        keys(deployment)
        public_routes(deployment)
        retained_turns(deployment)
        control_characters(deployment)
        turns_without_owner(deployment)
        changed_keys(deployment)
        expect_no_keys_in_logs(deployment)
