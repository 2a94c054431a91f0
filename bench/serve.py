"""Runs a deployment with stand-ins in the foreground."""

import signal
import sys

from bench.deployment import Deployment


def main() -> int:
    """Serve until interrupted."""
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: sys.exit(0))
    with Deployment() as deployment:
        deployment.start(entry_port=8080)
        deployment.create_demo_rows()
        print('entry at http://127.0.0.1:8080, key demo-key, model demo-model')
        print(f'store: export CICADAHOIST_STORE_URL={deployment.store}')
        print('interrupt to stop', flush=True)
        signal.pause()
    return 0


if __name__ == '__main__':
    sys.exit(main())
