"""Runs every measurement, one after the other."""

import subprocess
import sys

NAMES = (
    'entry',
    'agreement',
    'groups',
    'overload',
    'placing',
    'leaving',
    'slowreaders',
    'proofs',
    'capacity',
)


def main() -> None:
    """Run all measurements; exit non-zero if one failed."""
    failed = []
    for name in NAMES:
        print(f'== {name}', flush=True)
        done = subprocess.run([sys.executable, '-m', f'bench.{name}'])
        if done.returncode:
            failed.append(name)
    sys.exit(f'failed: {failed}' if failed else 0)


if __name__ == '__main__':
    main()
