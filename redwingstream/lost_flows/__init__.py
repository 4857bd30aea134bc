"""Notification of callers whose server has ended.

An agent records its server's established flows as snapshots at control
instances.  When the server ends, also together with its agent, the callers of
these flows are reset before they send their next request.
"""
