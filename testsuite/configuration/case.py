"""Operators make conflicting changes; an accepted configuration takes effect everywhere within seconds and survives a
restart during an outage of the object API."""

from harness import System, expect, start_small_system, wait_until

IN_FORCE_LIMIT_S = 12


def is_in_force_everywhere(system, revision):
    entries = [system.metric(e, "rattandeck_entry_config_revision") for e in system.entries.values() if e.running()]
    sidecars = [system.metric(s, "rattandeck_sidecar_config_revision") for s in system.sidecars.values() if s.running()]
    return min(entries + sidecars) >= revision


def version_of(output):
    return int(output.rsplit("version ", 1)[1])


def run(build):
    with System(build) as system:
        start_small_system(system)
        path = system.folder / "objects.toml"
        policy = ('[[object]]\nkind = "policy"\nname = "w"\n{}[object.spec]\n'
                  'wait_weight = {}\nendpoints = "service=agent-llm"\n')
        path.write_text(policy.format("", 2))
        admins = [word for entry in system.entries.values() for word in ("--entry", entry.field("admin"))]
        code, output = system.ctl("apply", "--dry-run", "-f", str(path), "--instances",
                                  system.instance_list.listen_address(), *admins)
        expect(code == 0 and "nothing was changed" in output, output)
        expect("3 endpoint instances match today" in output and "open programs match today" in output, output)
        code, output = system.ctl("apply", "-f", str(path))
        expect(code == 0, output)
        first = version_of(output)
        wait_until(lambda: is_in_force_everywhere(system, first), "the first change is in force", IN_FORCE_LIMIT_S)

        path.write_text(policy.format(f"version = {first}\n", 3))
        code, output = system.ctl("apply", "-f", str(path))
        expect(code == 0, output)
        second = version_of(output)
        path.write_text(policy.format(f"version = {first}\n", 4))
        code, output = system.ctl("apply", "-f", str(path))
        expect(code == 5 and "another version" in output, f"a conflicting change was not refused: {code} {output}")
        wait_until(lambda: is_in_force_everywhere(system, second), "the second change is in force", IN_FORCE_LIMIT_S)

        path.write_text(policy.format("", 4).replace("wait_weight", "wait_wieght"))
        code, output = system.ctl("apply", "-f", str(path))
        expect(code == 3 and "unknown field 'wait_wieght'" in output, output)

        system.set_faults(down=True)
        system.entries["entry-a"].kill()
        restarted = system.start_entry("entry-a", "a")
        wait_until(lambda: system.metric(restarted, "rattandeck_entry_config_revision") >= second,
                   "an entry started during the outage gets the configuration from its peers")
        code, _ = system.ctl("drain", "llm-a0")
        expect(code == 4, "a change was accepted during the outage")
        system.set_faults(down=False)
        wait_until(lambda: system.is_ready(restarted), "the restarted entry is ready after the outage")
