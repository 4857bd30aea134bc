"""Admission of new flows to the backend server beside an agent.

Modules
-------
reports
    Reports of a server on its own state, and which of them is the newest.
server_silence
    Whether a server sends anything after packets were delivered to it.
cold_limit
    Limit on the new flows that a cold server gets within a second.
failure_tracking
    Detection of a server that fails its requests although it reports ready.
caller_timeouts
    When callers retransmit an opening packet and when they give up.
wait_estimate
    Estimate of the time that a new flow would wait for the server.
wait_limits
    How long a new flow may wait, and when it counts as late.
gate
    The decision on each new flow, based on all of the above.
"""
