"""Guards against modules that make each start of an instance slower."""

import subprocess
import sys

# Frameworks that other programs use, and parts of other programs.
UNNEEDED = (
    'cicadahoist.cmd.operator',
    'cicadahoist.entry',
    'cicadahoist.mesh.table_sync',
    'cicadahoist.standin',
    'hypothesis',
    'klein',
    'numpy',
    'pynng',
    'requests',
    'werkzeug',
)
LIST_MODULES = 'import sys, cicadahoist.cmd.front; print(*sys.modules)'


def test_the_program_does_not_import_what_only_others_need():
    listed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES],
        check=True,
        capture_output=True,
        text=True,
    )
    assert not set(UNNEEDED) & set(listed.stdout.split())
