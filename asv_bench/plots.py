"""Plots of the measures."""

import pathlib

from asv_bench.measured_run import BIN, Measures

FROM = -4.0


def save_plots(found: list[Measures], folder: pathlib.Path) -> None:
    """Draw service over time for each deployment, and the counts."""
    folder.mkdir(parents=True, exist_ok=True)
    for deployment in dict.fromkeys(each.deployment for each in found):
        chosen = [each for each in found if each.deployment == deployment]
        _save_service(chosen, folder / f'service-{deployment.lower()}.svg')
        _save_counts(chosen, folder / f'broken-{deployment.lower()}.svg')


def _save_service(found: list[Measures], path: pathlib.Path) -> None:
    from matplotlib import pyplot

    pyplot.rcParams['svg.hashsalt'] = 'measures'
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    for each in found:
        line = each.timeline
        bins = [place for place in line.sent_by_bin if place * BIN >= FROM]
        shares = [
            line.answered_by_bin[place] / line.sent_by_bin[place] * 100
            for place in bins
        ]
        axes.plot([place * BIN for place in bins], shares, label=each.target)
    axes.axvline(0, color='gray', linestyle=':')
    axes.axvline(found[0].timeline.back_at, color='gray', linestyle=':')
    axes.set_ylim(0, 105)
    axes.set_xlabel('seconds since the zone was marked out')
    axes.set_ylabel('% answered')
    axes.set_title(found[0].deployment)
    axes.legend()
    figure.savefig(path, metadata={'Date': None}, bbox_inches='tight')
    pyplot.close(figure)


def _save_counts(found: list[Measures], path: pathlib.Path) -> None:
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    names = [each.target.replace(', ', ',\n') for each in found]
    broken = [each.broken_by_host + each.broken_by_zone for each in found]
    left.bar(names, broken)
    left.set_title('broken feeds')
    right.bar(names, [each.imbalance for each in found])
    right.set_title('imbalance, max/mean')
    for axes in (left, right):
        axes.tick_params(axis='x', labelsize=7)
    figure.savefig(path, metadata={'Date': None}, bbox_inches='tight')
    pyplot.close(figure)
