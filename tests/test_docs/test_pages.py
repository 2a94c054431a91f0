import os
import subprocess
import sys

import pytest

from bench.deployment import Deployment
from cicadahoist.settings import SETTINGS
from tests.test_docs.pages import (
    ROOT,
    find_links,
    find_missing_lines,
    find_pages,
    find_pages_with_commands,
    parse_shell_blocks,
)

PAGE_STORE = 'http://127.0.0.1:8070'
PAGE_ENTRY = 'http://127.0.0.1:8080'
BLOCK_TIMEOUT_S = 60
DEMO_TIMEOUT_S = 180
PROGRAMS = {
    'cicadahoist': 'cicadahoist.cmd.operator',
    'cicadahoist-entry': 'cicadahoist.cmd.entry',
}


def get_page_id(page):
    return str(page.relative_to(ROOT))


@pytest.fixture(scope='module')
def deployment():
    with Deployment(engines=2, services=2) as running:
        running.start(entries=1)
        running.create_demo_rows()
        yield running


@pytest.fixture
def shell(deployment, tmp_path):
    """Return a function that runs a block in a folder of its own."""
    programs = tmp_path / 'bin'
    programs.mkdir()
    for name, module in PROGRAMS.items():
        script = programs / name
        script.write_text(
            f'#!/bin/sh\nexec {sys.executable} -m {module} "$@"\n'
        )
        script.chmod(0o755)
    python = programs / 'python'
    python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
    python.chmod(0o755)
    folder = tmp_path / 'folder'
    folder.mkdir()

    def run(script):
        return subprocess.run(
            ['bash', '-euo', 'pipefail', '-c', f'exec 2>&1\n{script}'],
            cwd=folder,
            env={
                'PATH': f'{programs}:{os.environ["PATH"]}',
                'PYTHONPATH': str(ROOT),
                'CICADAHOIST_STORE_URL': deployment.store,
            },
            capture_output=True,
            text=True,
            timeout=BLOCK_TIMEOUT_S,
            check=False,
        )

    return run


@pytest.mark.parametrize('page', find_pages_with_commands(), ids=get_page_id)
def test_commands_of_a_page_do_what_it_says(page, shell, deployment):
    for block in parse_shell_blocks(page):
        if block.skip_reason:
            continue
        script = block.script.replace(PAGE_STORE, deployment.store)
        script = script.replace(PAGE_ENTRY, deployment.entries[0])
        completed = shell(script)
        failure_text = (
            f'{get_page_id(page)}:{block.line}\n{script}\n{completed.stdout}'
        )
        assert completed.returncode == 0, failure_text
        assert not find_missing_lines(block.expected, completed.stdout), (
            failure_text
        )


@pytest.mark.parametrize('page', find_pages(), ids=get_page_id)
def test_links_lead_to_files(page):
    missing_files = [
        link for link in find_links(page) if not (page.parent / link).exists()
    ]
    assert not missing_files


def test_named_settings_are_declared():
    declared = {f'[{option.section}] {option.key}' for option in SETTINGS}
    sections = {option.section for option in SETTINGS}
    for page in find_pages():
        text = page.read_text()
        for section in sections:
            start = f'`[{section}] '
            for part in text.split(start)[1:]:
                named = part.split('`')[0]
                assert f'[{section}] {named}' in declared, get_page_id(page)


def test_make_targets_on_pages_exist():
    makefile = (ROOT / 'Makefile').read_text()
    for page in find_pages():
        for part in page.read_text().split('`make ')[1:]:
            target = part.split('`')[0].split()[0]
            assert f'\n{target}:' in makefile, f'{get_page_id(page)}: {target}'


def test_demo_does_what_the_readme_says():
    completed = subprocess.run(
        [sys.executable, '-m', 'bench.demo'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
        check=False,
    )
    lines = completed.stdout.splitlines()
    # Lines with a goal rest on wall time, which decides nothing here.
    failed = [
        line
        for line in lines
        if line.startswith('FAIL') and '(goal' not in line
    ]
    assert not failed, completed.stdout + completed.stderr
    assert sum('ran 1 time(s)' in line for line in lines) == 2
    assert any(line.startswith('leaving') for line in lines), completed.stderr
