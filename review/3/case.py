"""The core is frozen and a control daemon is killed while a config is on its way; the daemon's next
process acknowledges another config that no daemon has stored. See claim.txt."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, ".."))
import lab as platform  # noqa: E402

FREEZE_S = 0.3
ROUNDS = 15


def config(version):
    return platform.document(
        version, [("r-book", "/book/", "non_idempotent", "desk", {"timeout_ms": 1000 + version})],
        ["desk"])


def read_newest(lab, ip, seconds):
    """Newest version that a daemon reads back within this time."""
    newest, end = 0, time.monotonic() + seconds
    while time.monotonic() < end:
        status, version, _ = lab.get(ip)
        if status == 200 and version is not None:
            newest = max(newest, version)
        time.sleep(0.5)
    return newest


def disrupt(lab, version, trouble):
    """Two operators send a config each through the same daemon. Returns the highest acknowledged
    version."""
    leader = lab.leader()
    through, other = [ip for ip in lab.control_ips if ip != leader]
    lab.record.write("leader %s, configs go through %s" % (leader, through))
    # Planned work: the daemon is stopped and started, 2 s before the disruption.
    lab.signal(through, signal.SIGTERM)
    lab.processes[through].wait()
    lab.start(through)
    time.sleep(2.0)
    if lab.leader() != leader:
        return 0
    acked = 0
    if trouble:
        lab.signal(leader, signal.SIGSTOP)
        lab.signal(other, signal.SIGSTOP)
    # The first operator's call; it gets no clear answer, as the daemon is killed.
    if lab.put(through, config(version), timeout=0.1 if trouble else 1.0) == 200:
        acked = version
    if trouble:
        lab.signal(through, signal.SIGKILL)
        lab.start(through)
        time.sleep(FREEZE_S - 0.1)
        lab.signal(leader, signal.SIGCONT)
    # The second operator's call; one that found no listener is sent again.
    for _ in range(20):
        second = lab.put(through, config(version + 1), timeout=1.0)
        if second is not None:
            break
        time.sleep(0.02)
    if second == 200:
        acked = version + 1
    if trouble:
        time.sleep(0.3)
        lab.signal(other, signal.SIGCONT)
    return acked


def case(lab):
    lab.start_all()
    platform.Engine(lab, 0, "desk", platform.ZONES[0])
    lab.put_until_accepted(config(10))
    lab.wait_ready()
    time.sleep(3.0)
    acked = 10
    for number in range(1, ROUNDS + 1):
        acked = max(acked, disrupt(lab, number * 100, platform.TROUBLE))
        # Longer than any election; a break is only one if it still is after `recovery_s`.
        time.sleep(1.5)
        newest = read_newest(lab, lab.leader(), 0.6)
        lab.record.write("round %d: newest acknowledged version %d, newest read back %d"
                         % (number, acked, newest))
        if 0 < newest < acked:
            # All is undisturbed; it stays lost.
            time.sleep(platform.BOUNDS["recovery_s"])
            newest = max(read_newest(lab, ip, 1.1) for ip in lab.control_ips)
            lab.record.write("after recovery_s: newest acknowledged version %d, newest read back %d"
                             % (acked, newest))
            print("round", number, "acknowledged", acked, "read back", newest)
            return 0 < newest < acked
    print("rounds:", ROUNDS, "acknowledged", acked, "read back", newest)
    if newest == 0:
        raise platform.CannotRun("nothing was read back")
    return False


if __name__ == "__main__":
    sys.exit(platform.main(FOLDER, case))
