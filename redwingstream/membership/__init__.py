"""Who is there: announcements, leases and incarnations."""
