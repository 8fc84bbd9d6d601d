"""Instances break responses: a resumable stream continues on another instance, any other stream ends early, and a
write is never sent twice."""

from harness import expect
from platform_standins import Deployment, STREAM


def break_after_two_events(request):
    if "Model" not in request.headers or "Last-Event-Id" in request.headers:
        return False
    request.send_response(200)
    request.send_header("Request-Id", request.headers["Request-Id"])
    request.send_header("Response-Seal", "seal")
    request.send_header("Content-Type", "text/event-stream")
    request.send_header("Transfer-Encoding", "chunked")
    request.end_headers()
    events = b"id: 1\ndata: d1\n\nid: 2\ndata: d2\n\nid: 3\nda"
    request.wfile.write(f"{len(events):x}\r\n".encode() + events + b"\r\n")
    request.wfile.flush()
    request.close_connection = True
    return True


def lose_answer(request):
    request.close_connection = True
    request.connection.close()
    return True


def run(build):
    with Deployment(build) as deployment:
        for runner in deployment.runners:
            runner.fault_handler = break_after_two_events
        resumed = deployment.turn("gateway-1", "p1", route_name="streams")
        expect(resumed.status == 200 and resumed.is_complete, "a resumable stream ended early")
        expect(resumed.body == STREAM, f"events are missing or duplicated: {resumed.body}")
        cut = deployment.turn("gateway-1", "p2")
        expect(cut.status == 200 and not cut.is_complete, "a stream that ended early looks complete")

        sent = []
        for runner in deployment.runners:
            runner.fault_handler = lambda request: sent.append(request.headers["Request-Id"]) or lose_answer(request)
        write = deployment.call("gateway-1", "/write/1", "POST", "slip", {"Request-Id": "w"})
        expect(write.status == 502 and sent.count("w") == 1,
               f"a write was answered {write.status}, sent {sent.count('w')} times")
        read = deployment.call("gateway-1", "/read/1", headers={"Request-Id": "s"})
        expect(read.status == 502 and sent.count("s") == 2,
               f"a read was answered {read.status}, sent {sent.count('s')} times")
