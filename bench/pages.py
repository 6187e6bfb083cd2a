"""Writes the results of all measurements into the pages of docs/."""

import csv
import pathlib
import re

from bench import capacitypage
from bench import rig

MEASUREMENTS = pathlib.Path('docs/MEASUREMENTS.md')
CAPACITY = pathlib.Path('docs/CAPACITY.md')
MARKER = re.compile(r'<!-- begin (\w+) -->')


def read_rows(name: str) -> list[dict[str, str]]:
    """Return the rows of a table of results."""
    with open(rig.RESULTS / f'{name}.csv', encoding='utf-8') as file:
        return list(csv.DictReader(file))


def main() -> None:
    """Write every table into its page."""
    text = MEASUREMENTS.read_text(encoding='utf-8')
    for name in MARKER.findall(text):
        table = capacitypage.copy_table(read_rows(name))
        text = capacitypage.replace_table(text, name, table)
    MEASUREMENTS.write_text(text, encoding='utf-8')
    text = CAPACITY.read_text(encoding='utf-8')
    for name, table in capacitypage.make_tables(read_rows).items():
        text = capacitypage.replace_table(text, name, table)
    CAPACITY.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
