"""A local deployment that runs until interrupted, for trying requests by hand."""

import signal
import tempfile
import threading
from pathlib import Path

from turmerictray.platform.standins.local import API_KEY, HOST, LocalDeployment


def run_up(routers: int, engines: int, workdir: Path | None = None) -> int:
    """Run the store, workers and routers on loopback until interrupted; print their addresses.

    Parameters
    ----------
    routers, engines : int
    workdir : Path or None
        Folder for settings and logs; a new temporary folder by default.

    Returns
    -------
    int
        Exit code 0.
    """
    folder = workdir or Path(tempfile.mkdtemp(prefix="turmerictray-up-"))
    folder.mkdir(parents=True, exist_ok=True)
    stop = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: stop.set())
    deployment = LocalDeployment(folder, routers=routers, engines=engines)
    try:
        deployment.start()
        print(_describe(deployment, folder), flush=True)
        stop.wait()
    finally:
        deployment.stop()
    print("stopped")
    return 0


def _describe(deployment: LocalDeployment, folder: Path) -> str:
    first = deployment.routers[0]
    host, port = first.front
    lines = [
        f"router {r.name}: callers {r.front[0]}:{r.front[1]}, operators {r.admin_url}/status"
        for r in deployment.routers
    ]
    lines += [f"worker {w.id} of {w.service}: {w.address}" for w in deployment.workers]
    lines += [
        f"logs in {folder}",
        "try a plain request, then a stream:",
        f"  curl -i http://{host}:{port}/ping/1 -H 'Host: {HOST}' "
        f"-H 'Authorization: Bearer {API_KEY}' -H 'X-Request-Id: a1'",
        f"  curl -iN http://{host}:{port}/plan/1 -d prompt -H 'Host: {HOST}' "
        f"-H 'Authorization: Bearer {API_KEY}' -H 'X-Request-Id: a2' "
        "-H 'X-Model: m' -H 'X-Token-Count: 1460,80' -H 'X-Prompt-Prefix: 5c1e:1200,e440:260'",
        f"  turmerictray explain a2 {folder}/*.log",
        "press Ctrl-C to stop",
    ]
    return "\n".join(lines)
