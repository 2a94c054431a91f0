"""The proof page names tests that exist."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / 'docs' / 'PROOF.md'


def test_each_test_that_the_page_names_exists():
    defined = set()
    for path in (ROOT / 'tests').rglob('test_*.py'):
        defined.update(re.findall(r'def (test_\w+)', path.read_text()))
        defined.add(path.stem)
        defined.add(path.parent.name)
    named = set(re.findall(r'\b(test_\w+)', PAGE.read_text()))
    assert len(named) > 20
    assert not named - defined
