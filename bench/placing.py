"""Compares two load tables when many entries place on the same groups.

The naive one knows the entry's own requests and the loads that answers
report. The project's also uses what the leader computes from the reports
of all entries.
"""

from apricotthread.fakes import placementsimulation
from apricotthread.gateway import loads
from bench import rig

SEED = 1
SITES = ((7, 6, 13), (63, 16, 19), (87, 8, 24))
LOADS = (0.8, 0.95, 1.3, 1.8)


class NaiveLoadTable(loads.LoadTable):
    """A load table without the requests in flight of other entries."""

    def apply_in_flight_sums(
        self, in_flight_by_id, endpoint_ids_by_model
    ) -> None:
        """Ignore the sums of all entries' requests in flight."""


def main() -> None:
    """Simulate all loads with both load tables and write the results."""
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
