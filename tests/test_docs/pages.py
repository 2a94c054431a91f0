"""Parses shell blocks with expected output and links from Markdown pages."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
SKIP_MARK = re.compile(r'<!-- not run by the tests: (.+) -->')
LINK = re.compile(r'\]\(([^)#\s]+)[^)]*\)')
WILDCARD = '...'


class ShellBlock:
    """A shell block of a page and the output that the page shows for it."""

    def __init__(self, line, script, expected, skip_reason):
        self.line = line
        self.script = script
        self.expected = expected
        self.skip_reason = skip_reason


def find_pages():
    """Return all Markdown pages of the repository."""
    return [ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md'))]


def find_pages_with_commands():
    """Return pages that hold shell blocks."""
    return [page for page in find_pages() if '```sh' in page.read_text()]


def parse_shell_blocks(page):
    """Return the shell blocks of a page in order."""
    blocks = []
    fence = None
    skip_reason = ''
    is_after_script = False
    body = []
    for number, line in enumerate(page.read_text().splitlines(), 1):
        if fence is None and line.startswith('```'):
            fence, body = line[3:], []
        elif fence is not None and line == '```':
            if fence == 'sh':
                blocks.append(
                    ShellBlock(number, '\n'.join(body), [], skip_reason)
                )
            elif fence == 'text' and is_after_script:
                blocks[-1].expected = body
            is_after_script = fence == 'sh'
            fence, skip_reason = None, ''
        elif fence is not None:
            body.append(line)
        elif line:
            is_after_script = False
            skip_mark = SKIP_MARK.match(line)
            skip_reason = skip_mark.group(1) if skip_mark else skip_reason
    return blocks


def find_links(page):
    """Return the relative links of a page."""
    found = LINK.findall(page.read_text())
    return [link for link in found if '://' not in link]


def find_missing_lines(expected, output):
    """Return the expected lines that an output lacks."""
    seen = [' '.join(line.split()) for line in output.splitlines()]
    return [
        line
        for line in expected
        if line.strip() and not any(_matches(line, each) for each in seen)
    ]


def _matches(expected, seen):
    parts = map(re.escape, ' '.join(expected.split()).split(WILDCARD))
    return re.fullmatch('.*'.join(parts), seen) is not None
