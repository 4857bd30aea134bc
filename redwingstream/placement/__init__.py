"""Buckets, their home and heir, and how they move without being lost."""
