"""Closed-loop callers for the process tests."""

import threading

import urllib3

from turmerictray.loadtool.client import call_stream


class Callers:
    """Closed-loop callers for one or more teams, which run until stopped; records every outcome."""

    def __init__(self) -> None:
        self.outcomes: list = []
        self.stop = threading.Event()
        self.threads: list[threading.Thread] = []
        self.lock = threading.Lock()

    def add(self, url: str, team: str, count: int, tokens: int) -> None:
        for _ in range(count):
            thr = threading.Thread(target=self._loop, args=(url, team, tokens), daemon=True)
            self.threads.append(thr)
            thr.start()

    def _loop(self, url: str, team: str, tokens: int) -> None:
        http = urllib3.PoolManager(retries=False)
        while not self.stop.is_set():
            out = call_stream(http, url, team, tokens)
            with self.lock:
                self.outcomes.append(out)

    def finish(self) -> None:
        self.stop.set()
        for thr in self.threads:
            thr.join(60)

    def tokens(self, team: str) -> int:
        return sum(o.tokens for o in self.outcomes if o.team == team)
