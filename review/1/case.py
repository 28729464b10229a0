"""Control daemons are added, the settings name them as the seeds, and the core is killed and back
within a second. See claim.txt."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, ".."))
import lab as platform  # noqa: E402


def case(lab):
    first = lab.control_ips
    added = ["%s.%d" % (first[0].rsplit(".", 1)[0], 21 + n) for n in range(3)]
    lab.start_all()
    engine = platform.Engine(lab, 0, "desk", platform.ZONES[0])
    lab.put_until_accepted(platform.document(
        7, [("r-book", "/book/", "non_idempotent", "desk", {})], ["desk"]))
    lab.wait_ready()
    requesters = platform.Requesters(lab, "/book/seat", per_s=20.0)
    time.sleep(3.0)
    lab.control_ips = first + added
    old_seeds = ",".join("%s:%d" % (ip, platform.CONTROL) for ip in first)
    for ip in added:
        lab.start(ip, extra={"seeds": old_seeds})
    time.sleep(platform.BOUNDS["catch_up_s"] + platform.BOUNDS["contact_ms"] / 1000.0)
    if lab.put(lab.leader(), platform.document(
            9, [("r-book", "/book/", "non_idempotent", "desk", {})], ["desk"])) != 200:
        raise platform.CannotRun("version 9 was not acknowledged")
    time.sleep(1.0)
    # The settings files now name other machines that serve control; only a new process reads them.
    seeds = added if platform.TROUBLE else first
    seeds = ",".join("%s:%d" % (ip, platform.CONTROL) for ip in seeds)
    lab.record.write("the settings of all control daemons name the seeds " + seeds)
    for ip in lab.control_ips:
        lab.signal(ip, signal.SIGKILL)
    for ip in lab.control_ips:
        lab.start(ip, extra={"seeds": seeds})
    time.sleep(platform.BOUNDS["recovery_s"])
    requesters.stop()
    newest, leaders = 0, set()
    end = time.monotonic() + 10.0
    while newest == 0 and time.monotonic() < end:
        for ip in lab.control_ips:
            status, version, _ = lab.get(ip)
            newest = max(newest, version or 0) if status == 200 else newest
        time.sleep(0.3)
    put = max((lab.put(ip, platform.document(
        11, [("r-book", "/book/", "non_idempotent", "desk", {})], ["desk"])) or 0) == 200
        for ip in lab.control_ips)
    lab.record.write("version 9 was acknowledged; newest read back %d; a new config is accepted: %s"
                     % (newest, put))
    print("version 9 was acknowledged; newest read back", newest, "; new config accepted:", put)
    return newest < 9


if __name__ == "__main__":
    sys.exit(platform.main(FOLDER, case))
