"""Runs pytest; only failures of tests listed in KNOWN-RED.txt are tolerated."""

import re
import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_LINE = re.compile(r'^test:\s*(\S+)', re.MULTILINE)


class KnownRed:
    """Reports failures of listed tests as skipped and prints their state."""

    def __init__(self, known_test_ids: set[str]) -> None:
        self._known_test_ids = known_test_ids
        self.failed_test_ids: list[str] = []

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):
        outcome = yield
        report = outcome.get_result()
        if report.failed and item.nodeid in self._known_test_ids:
            report.outcome = 'skipped'
            report.longrepr = (str(item.path), 0, 'listed in KNOWN-RED.txt')
            self.failed_test_ids.append(item.nodeid)

    def pytest_terminal_summary(self, terminalreporter) -> None:
        for name in sorted(self._known_test_ids):
            state = 'failed' if name in self.failed_test_ids else 'did not fail'
            terminalreporter.write_line(f'KNOWN-RED {name}: {state}')


def main() -> int:
    """Run pytest with the arguments of the command line."""
    known_red = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    plugin = KnownRed(set(TEST_LINE.findall(known_red)))
    return int(pytest.main(sys.argv[1:], plugins=[plugin]))


if __name__ == '__main__':
    sys.exit(main())
