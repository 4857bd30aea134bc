"""Scheduling of what a balancer sends over the link of its instance.

The link of an instance with low bandwidth queues packets for 50 ms and drops
those that arrive beyond that.  A single upload fills it, so without scheduling
the small packets of all other flows are lost with those of uploads.  The
classes here decide only: they do no I/O and read no clock.

Modules
-------
scheduler
    Sends urgent packets at once and bulk packets as far as the link's rate
    allows.
bulk_queue
    Bulk packets that wait, in turn by flow.
bulk_admission
    Limit on the uploads in progress on one link.
fullness
    Whether the link is full, and since when.
upload_link
    Scheduler and admission of one balancer.
events
    Log events.
"""
