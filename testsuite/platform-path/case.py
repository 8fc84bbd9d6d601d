"""The whole path on the users' platform: plain calls, streams, chains of turns, budgets, and a change of routes."""

from harness import expect, wait_until
from platform_standins import Deployment, EVENTS, STREAM, TOKENS_PER_EVENT, USUAL_ROUTES, configuration, route

OUTPUT = b"".join(b"d%d\n" % number for number in range(1, EVENTS + 1))


def plain_calls(deployment):
    answer = deployment.call("gateway-1", "/read/a%2Fb?x=1&y", headers={"Request-Id": "plain"})
    expect(answer.status == 200 and answer.body == b"body of /read/a%2Fb?x=1&y", f"wrong answer: {answer.body}")
    expect(answer.headers.get("response-seal") == "seal-plain", f"wrong seal: {answer.headers}")
    expect(deployment.call("gateway-1", "/nowhere/").status == 404, "an unknown route is answered")
    written = deployment.call("gateway-1", "/write/1", "POST", "slip", {"Hold": "1", "Pin-Ms": "5"})
    expect(written.status == 200, f"a write is answered {written.status}")
    sent = next(headers for runner in deployment.runners for _, body, headers in runner.ran if body == b"slip")
    expect("Hold" not in sent and "Pin-Ms" not in sent, "a caller gives orders about engine memory")


def chains(deployment):
    first = deployment.turn("gateway-1", "chain", request="c1", body="one ")
    expect(first.status == 200 and first.is_whole and first.body == STREAM, f"wrong stream: {first.body}")
    deployment.turn("gateway-2", "chain", previous="c1", request="c2", body="two ")
    third = deployment.turn("gateway-1", "chain", previous="c2", request="c3", body="three ")
    expect(third.status == 200, f"the third turn is answered {third.status}")
    expected = b"one " + OUTPUT + b"two " + OUTPUT + b"three "
    expect(expected in deployment.bodies(), f"no instance got the chain: {deployment.bodies()[-1]}")
    # Until the journals have copied each other after their set has grown, nobody can say that there is no such turn.
    answers = [deployment.turn("gateway-2", "chain", previous="never").status]
    wait_until(lambda: answers[-1] == 404 or answers.append(deployment.turn("gateway-2", "chain", "never").status),
               "an unknown turn is said to be unknown")
    expect(set(answers) <= {404, 503}, f"an unknown turn is answered {answers}")


def budgets(deployment):
    used = EVENTS * TOKENS_PER_EVENT
    before = len(deployment.bodies())
    answers = [deployment.turn(f"gateway-{1 + number % 2}", "spender", budget=2 * used + 5) for number in range(4)]
    expect([answer.status for answer in answers] == [200, 200, 402, 402], f"budget: {[a.status for a in answers]}")
    expect(len(deployment.bodies()) - before == 2, "a turn beyond the budget has run")


def changed_routes(deployment):
    routes = [entry for entry in USUAL_ROUTES if entry["name"] != "write"] + [route("later", "safe", "app")]
    deployment.store.put("config", "main", configuration(5, routes))
    for gateway in ("gateway-1", "gateway-2"):
        wait_until(lambda: deployment.call(gateway, "/later/").status == 200, "the new route is in force")
        expect(deployment.call(gateway, "/write/").status == 404, "the old route is still in force")


def run(build):
    with Deployment(build, gateways=2) as deployment:
        plain_calls(deployment)
        chains(deployment)
        budgets(deployment)
        changed_routes(deployment)
