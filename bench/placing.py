"""What callers get of many entries that place on the same groups.

The naive way knows its own work and what an answer says of its group;
the project's adds the means that the leader makes of all reports.
"""

from apricotthread.fakes import placementsimulation
from apricotthread.gateway import loads
from bench import rig

SEED = 1
SITES = ((7, 6, 13), (63, 16, 19), (87, 8, 24))
LOADS = (0.8, 0.95, 1.3, 1.8)


class NaiveLoadTable(loads.LoadTable):
    """Knows nothing of what other entries do."""

    def apply_in_flight_sums(
        self, in_flight_by_id, endpoint_ids_by_model
    ) -> None:
        """Ignore the work of all entries."""


def main() -> None:
    """Play all loads both ways and write the table."""
    print(f'  seed {SEED}')
    rows = []
    for entries, groups, slots in SITES:
        for load_share in LOADS:
            for name, make_table in (
                ('apricotthread', loads.LoadTable),
                ('naive', NaiveLoadTable),
            ):
                result = placementsimulation.PlacementSimulation(
                    entries=entries,
                    groups=groups,
                    slots=slots,
                    load_share=load_share,
                    seed=SEED,
                    make_table=make_table,
                ).run()
                rows.append(
                    {
                        'entries': entries,
                        'groups': groups,
                        'load': load_share,
                        'placed by': name,
                        **result._asdict(),
                    }
                )
    rig.write_rows('placing', rows)


if __name__ == '__main__':
    main()
