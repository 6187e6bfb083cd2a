"""Makes copies of this checkout, each without one mechanism of a policy.

The copies are then played against each other with `python -m bench.compare`:

    python -m bench.ablation FOLDER
"""

import argparse
import dataclasses
import pathlib
import shutil

UNUSED = shutil.ignore_patterns('.venv', '.git', 'target', 'journal')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ablation:
    """A copy's name, and the code that is replaced in one module.

    `code` occurs once in the module.
    """

    name: str
    module: str
    code: str
    instead: str


ABLATIONS = (
    Ablation(
        name='no-spares-loaded',
        module='groups/spares.py',
        code='planned.extend(self._load_spares())',
        instead='planned.extend([])',
    ),
    Ablation(
        name='loads-in-any-order',
        module='groups/spares.py',
        code='loads.sort(key=lambda load: (load.can_wait, load.cost))',
        instead='loads.sort(key=lambda load: load.domain)',
    ),
    Ablation(
        name='spares-not-warmed',
        module='groups/spares.py',
        code='warm_steps.extend(_warm(vms, free, idle.models, last_epoch))',
        instead='warm_steps.extend([])',
    ),
    Ablation(
        name='repairs-wait-for-weights',
        module='groups/formation.py',
        code='return not self.has_callers or not self.ready.needs_load('
        'vm, model)',
        instead='return True',
    ),
    Ablation(
        name='slow-members-stay',
        module='groups/formation.py',
        code="if group.state == 'serving' and any(vm.slow for vm in vms):",
        instead='if False:',
    ),
    Ablation(
        name='domains-not-packed',
        module='groups/assembly.py',
        code='                self._count_stranded(model, len(free)),\n',
        instead='                0,\n',
    ),
    Ablation(
        name='small-groups-not-held-back',
        module='groups/assembly.py',
        code='del models[1:]',
        instead='pass',
    ),
    Ablation(
        name='stalls-not-reported-at-once',
        module='gateway/groupmonitor.py',
        code='        observation.stalled_at = now\n'
        '        self._urgent_report_event.set()\n',
        instead='        observation.stalled_at = now\n',
    ),
    Ablation(
        name='no-load-from-responses',
        module='gateway/loads.py',
        code='load.others_updated_at = self._env.timer.now()',
        instead='pass',
    ),
    Ablation(
        name='no-sums-from-leader',
        module='gateway/loads.py',
        code='in endpoint_ids_by_model.items():',
        instead='in ():',
    ),
    Ablation(
        name='no-slowness-factor',
        module='gateway/selection.py',
        code='slowness=self._group_monitor.slowness(replica),',
        instead='slowness=1.0,',
    ),
    Ablation(
        name='suspects-not-avoided',
        module='gateway/placement.py',
        code='score += SUSPECT_PENALTY_S',
        instead='pass',
    ),
    Ablation(
        name='no-far-penalty',
        module='gateway/placement.py',
        code='score += FAR_PENALTY_S',
        instead='pass',
    ),
    Ablation(
        name='late-requests-queue',
        module='gateway/placement.py',
        code='limit_s = TARGET_SHARE * target_s\n',
        instead='limit_s = PATIENCE_SHARE * patience_s\n',
    ),
    Ablation(
        name='callers-return-soon',
        module='gateway/placement.py',
        code='return round(RETRY_AFTER_SHARE * time_left_s * share, 2)',
        instead='return round(0.2 * share, 2)',
    ),
    Ablation(
        name='returning-callers-not-deferred',
        module='gateway/placement.py',
        code='return dataclasses.replace(best, urgency=Urgency.DEFERRED)',
        instead='return best',
    ),
    Ablation(
        name='streams-not-resumed',
        module='gateway/forwarder.py',
        code='                    splitter.restart()\n',
        instead='                    if sink.started:\n'
        '                        raise AnswerCut(failure.reason)\n'
        '                    splitter.restart()\n',
    ),
    Ablation(
        name='no-stall-watch',
        module='gateway/forwarder.py',
        code='self._watch.add(attempt)',
        instead='pass',
    ),
    Ablation(
        name='no-cold-allowance',
        module='gateway/selection.py',
        code='and self._fleet.cold_for_s(replica.endpoint_id) > 0',
        instead='and False',
    ),
)


def make_copy(ablation: Ablation, folder: pathlib.Path) -> None:
    """Copy the checkout, and take the mechanism away in the copy.

    Raises SystemExit if its code is not found once.
    """
    copy = folder / ablation.name
    shutil.copytree('.', copy, ignore=UNUSED)
    package = ablation.module.partition('/')[0]
    path = copy / 'packages' / package / 'src/apricotthread'
    path /= ablation.module
    text = path.read_text()
    if text.count(ablation.code) != 1:
        raise SystemExit(f'{ablation.name}: code not found once')
    path.write_text(text.replace(ablation.code, ablation.instead))


def main() -> None:
    """Make all copies in a new folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('folder', type=pathlib.Path)
    folder = parser.parse_args().folder
    folder.mkdir(parents=True)
    for ablation in ABLATIONS:
        make_copy(ablation, folder)
    print(*(folder / ablation.name for ablation in ABLATIONS), sep='\n')


if __name__ == '__main__':
    main()
