"""Runs all measurements, one after the other."""

import subprocess
import sys

NAMES = (
    'entry',
    'agreement',
    'groups',
    'overload',
    'perrequest',
    'placing',
    'leaving',
    'slowreaders',
    'proofs',
    'capacity',
)


def main() -> None:
    """Run all measurements; exit non-zero if one failed."""
    failed_names = []
    for name in NAMES:
        print(f'== {name}', flush=True)
        process = subprocess.run([sys.executable, '-m', f'bench.{name}'])
        if process.returncode:
            failed_names.append(name)
    sys.exit(f'failed: {failed_names}' if failed_names else 0)


if __name__ == '__main__':
    main()
