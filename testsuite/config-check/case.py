"""The tool and a gateway find the same in each document of a corpus, the gateway adopts what the tool says, the tool reads the
version in force from the store, and no key appears in an output or a log."""

import json
import pathlib
import subprocess

from harness import expect, wait_until
from platform_standins import Deployment

CORPUS = sorted((pathlib.Path(__file__).parent / "corpus").glob("*.json"))
GATEWAY = "gateway-1"


class Tool:
    """`rattandeckctl check` for documents that are written to a folder."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.output = ""

    def check(self, spec, *options):
        return self.check_text(json.dumps(spec), *options)

    def check_text(self, text, *options):
        path = self.deployment.folder / "checked.json"
        path.unlink(missing_ok=True)
        if text is not None:
            path.write_text(text)
        command = [str(self.deployment.build / "src" / "rattandeckctl"), "check", str(path), *options]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        self.output += done.stdout + done.stderr
        return done.returncode, done.stdout

    def report(self, spec, *options):
        status, text = self.check(spec, "--format", "json", *options)
        return status, json.loads(text)

    def report_against_live(self, spec):
        return self.report(spec, "--against", "live", "--store", self.deployment.store.address)


def summaries(findings):
    return sorted(f"{finding['severity']} {finding['kind']} {finding['place']}" for finding in findings)


def lines_of(deployment, version):
    """What the gateway logged about a version, as (kind, place, text)."""
    lines = [json.loads(line) for line in deployment.log_of(GATEWAY).splitlines() if line.startswith("{")]
    return sorted((line["kind"], line["place"], line["text"]) for line in lines
                  if line.get("event") == "configuration finding" and line["version"] == version)


def has_adopted(deployment, version):
    return f'"event":"configuration","version":{version},' in deployment.log_of(GATEWAY)


def check_document(deployment, tool, path, version):
    document = json.loads(path.read_text())
    spec = dict(document["spec"], version=version)
    status, report = tool.report(spec)
    expect(summaries(report["findings"]) == sorted(document["expected"]),
           f"{path.name}: found {summaries(report['findings'])}")
    counted = [finding for finding in report["findings"] if finding["severity"] != "notice"]
    expect(status == (1 if counted else 0), f"{path.name}: status {status}")
    expect(tool.check(spec)[0] == status, f"{path.name}: another status with text")
    expect(report["adopted"] == document["adopted"], f"{path.name}: adopted is {report['adopted']}")

    revision = deployment.store.put("config", "main", spec)["metadata"]["rev"]
    if not document["adopted"]:
        wait_until(lambda: f"revision {revision}: missing or invalid field" in deployment.log_of(GATEWAY),
                   f"{path.name}: the gateway rejects the document")
        against_live = tool.check(spec, "--against", "live", "--store", deployment.store.address)
        expect(against_live[0] == 2, f"{path.name}: a version in force that can't be read")
        return
    wait_until(lambda: has_adopted(deployment, version), f"{path.name}: the gateway adopts the document")
    expected = sorted((finding["kind"], finding["place"], finding["text"]) for finding in counted)
    wait_until(lambda: lines_of(deployment, version) == expected, f"{path.name}: the gateway logs what the tool finds")
    expect(tool.report(spec, "--store", deployment.store.address) == tool.report_against_live(spec),
           f"{path.name}: differs from itself")


def check_differences(deployment, tool, version):
    """Findings about what is lost, compared with the object in the store."""
    spec = dict(json.loads(CORPUS[0].read_text())["spec"], version=version)
    deployment.store.put("config", "main", spec)
    changed = json.loads(json.dumps(spec))
    changed["routes"].pop()
    changed["services"] = changed["services"][:1]
    changed["tenants"][0]["api_keys"] = ["secret-new"]
    changed["tenants"][1]["rate_per_s"] = 2
    # An instance that leaves takes no new calls.
    next(runner for runner in deployment.runners if runner.name == "llm-1").register("draining")
    status, report = tool.report_against_live(changed)
    expect(not any(finding["kind"] == "service-without-instances" for finding in report["findings"]), "llm-2 takes calls")
    next(runner for runner in deployment.runners if runner.name == "llm-2").register("draining")
    status, report = tool.report_against_live(changed)
    expect(status == 1, f"differences: status {status}")
    expect(summaries(report["findings"]) == sorted([
        "error version-not-higher version", "warning keys-removed tenants[0].api_keys", "warning path-unreachable routes",
        "warning rate-lowered tenants[1].rate_per_s", "warning service-without-instances routes[0]",
        "warning service-unreachable services",
        "warning service-unreachable services"]), f"differences: found {summaries(report['findings'])}")


def check_unreadable(tool):
    """The messages of a JSON parser quote the text, in which there may be keys."""
    expect(tool.check("text")[0] == 1, "a document that is no object is readable")
    for text in (None, "", '{"tenants": [{"api_keys": ["secret-north, 5', '{"tenants": secret-north}', "[" * 100 + "]" * 100):
        expect(tool.check_text(text)[0] == 2, f"not readable: {text}")
    sound = json.loads(CORPUS[0].read_text())["spec"]
    expect(tool.check(sound, "--against", "/nonexistent")[0] == 2, "a version in force that isn't there")
    expect(tool.check(sound, "--against", "live")[0] == 2, "a store without an address")
    expect(tool.check(sound, "--store", "127.0.0.1:9")[0] == 2, "a store that doesn't answer")


def run(build):
    with Deployment(build) as deployment:
        tool = Tool(deployment)
        version = 1
        for path in CORPUS:
            version += 1
            check_document(deployment, tool, path, version)
        check_differences(deployment, tool, version + 1)
        check_unreadable(tool)
        for name, text in {"the tool's output": tool.output, "the gateway's log": deployment.log_of(GATEWAY)}.items():
            expect("secret" not in text.lower(), f"a key appears in {name}")
