"""Tests of placement, takeover and replication of buckets."""
