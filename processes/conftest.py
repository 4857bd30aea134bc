"""Every test of a module runs on the loop that its processes belong to.

The modules are divided between two workers, so that at most two fleets run at
once: what they show depends on time-outs, and four of them beside each other
would load a small machine.
"""

import pytest

WORKERS = 2


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run asynchronous tests on one loop for each module."""
    for item in items:
        if 'processes' in item.path.parts:
            marker = pytest.mark.asyncio(loop_scope='module')
            item.add_marker(marker, append=False)
            group = sum(item.path.name.encode()) % WORKERS
            item.add_marker(pytest.mark.xdist_group(f'processes-{group}'))
