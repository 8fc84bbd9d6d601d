"""Malformed input on every port is answered with a typed error or a closed connection, and the system keeps serving."""

import json
import socket

from harness import System, call, expect, http, open_program, start_small_system

MALFORMED_INPUT = [b"\x00" * 64, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 200,
                   b"GET / HTTP/1.1\r\nx: " + b"y" * 100000,
                   b"POST /v1/programs HTTP/1.1\r\ncontent-length: 99999999999\r\n\r\n"]


def send_malformed_input(address):
    host, port = address.rsplit(":", 1)
    for payload in MALFORMED_INPUT:
        with socket.create_connection((host, int(port)), timeout=10) as connection:
            try:
                connection.sendall(payload)
                connection.shutdown(socket.SHUT_WR)
                connection.recv(4096)
            except OSError:
                pass  # the server may close the connection at once


def run(build):
    with System(build) as system:
        start_small_system(system)
        for process in [*system.entries.values(), *system.sidecars.values()]:
            for word in process.ready.split()[1:]:
                send_malformed_input(word.split("=", 1)[1])

        address = system.caller_addresses()[0]
        bodies = ["", "[]", "{", '{"organisation": 1}',
                  '{"organisation":"o","service":"s","aim_ms":-1,"budget_tokens":1}',
                  '{"organisation":"o","service":"s","aim_ms":1,"budget_tokens":1,"colour":2}', "\x00\x01", "9" * 5000]
        for body in bodies:
            status, _, text = http("POST", address, "/v1/programs", body)
            problem = json.loads(text)
            expect(status == 400 and problem["ran"] == "no", f"{body[:40]!r}: {status} {text}")
        for path in ("/v1/programs/x", "/v1/programs/s0.e0.n0", "/v1/programs/s9999.e1.n1", "/nowhere"):
            status, _, text = http("GET", address, path)
            expect(status == 404, f"{path}: {status} {text}")
        status, _, answer = call(address, open_program(address)[1], {"input": "still here?", "max_tokens": 3})
        expect(status == 200, f"{status} {answer}")
