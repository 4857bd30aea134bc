"""What every member process does: speak, follow the tables, stay known."""
