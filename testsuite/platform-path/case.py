"""Basic operation on the users' platform: plain calls, streams, chains of turns, budgets, and a change of routes."""

from harness import expect, wait_until
from platform_standins import Deployment, EVENTS, STREAM, TOKENS_PER_EVENT, DEFAULT_ROUTES, configuration, route

OUTPUT = b"".join(b"d%d\n" % number for number in range(1, EVENTS + 1))


def plain_calls(deployment):
    answer = deployment.call("gateway-1", "/read/a%2Fb?x=1&y", headers={"Request-Id": "plain"})
    expect(answer.status == 200 and answer.body == b"body of /read/a%2Fb?x=1&y", f"wrong response body: {answer.body}")
    expect(answer.headers.get("response-seal") == "seal-plain", f"wrong seal: {answer.headers}")
    expect(deployment.call("gateway-1", "/nowhere/").status == 404, "a path without a route is not answered 404")
    written = deployment.call("gateway-1", "/write/1", "POST", "slip", {"Hold": "1", "Pin-Ms": "5"})
    expect(written.status == 200, f"a write is answered {written.status}")
    sent = next(headers for runner in deployment.runners for _, body, headers in runner.executed_calls
                if body == b"slip")
    expect("Hold" not in sent and "Pin-Ms" not in sent,
           "a caller's engine memory headers were forwarded to an instance")


def chains(deployment):
    first = deployment.turn("gateway-1", "chain", request="c1", body="one ")
    expect(first.status == 200 and first.is_complete and first.body == STREAM, f"wrong stream: {first.body}")
    deployment.turn("gateway-2", "chain", previous="c1", request="c2", body="two ")
    third = deployment.turn("gateway-1", "chain", previous="c2", request="c3", body="three ")
    expect(third.status == 200, f"the third turn is answered {third.status}")
    expected = b"one " + OUTPUT + b"two " + OUTPUT + b"three "
    expect(expected in deployment.bodies(), f"no instance received the whole chain: {deployment.bodies()[-1]}")
    # After their set has grown, journals cannot confirm that a turn does not exist until they have copied each other.
    answers = [deployment.turn("gateway-2", "chain", previous="never").status]
    wait_until(lambda: answers[-1] == 404 or answers.append(deployment.turn("gateway-2", "chain", "never").status),
               "an unknown turn is answered 404")
    expect(set(answers) <= {404, 503}, f"an unknown turn is answered {answers}")


def budgets(deployment):
    used = EVENTS * TOKENS_PER_EVENT
    before = len(deployment.bodies())
    answers = [deployment.turn(f"gateway-{1 + number % 2}", "spender", budget=2 * used + 5) for number in range(4)]
    expect([answer.status for answer in answers] == [200, 200, 402, 402],
           f"statuses of the turns: {[a.status for a in answers]}")
    expect(len(deployment.bodies()) - before == 2, "a turn beyond the budget was executed")


def route_changes(deployment):
    routes = [entry for entry in DEFAULT_ROUTES if entry["name"] != "write"] + [route("later", "safe", "app")]
    deployment.store.put("config", "main", configuration(5, routes))
    for gateway in ("gateway-1", "gateway-2"):
        wait_until(lambda: deployment.call(gateway, "/later/").status == 200, "the new route is in force")
        expect(deployment.call(gateway, "/write/").status == 404, "the old route is still in force")


def run(build):
    with Deployment(build, gateways=2) as deployment:
        plain_calls(deployment)
        chains(deployment)
        budgets(deployment)
        route_changes(deployment)
