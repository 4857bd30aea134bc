"""A soak: the real programs on loopback, under random faults from a seed.

    python -m soak --seed 7 --seconds 60

Modules
-------
faults
    What may be done to a site.
plan
    Draws which fault comes when; the same seed, the same plan.
proxy
    Stands between operators and control instances: delays, resets, silences.
inject
    Carries faults out, by signals, on disks and at servers.
load
    Callers and an operator, and what they saw.
promises
    What must hold, checked from what callers, servers and operators saw.
running
    Time for which the soak itself runs.
starved
    Which programs did not run for a while.
"""
