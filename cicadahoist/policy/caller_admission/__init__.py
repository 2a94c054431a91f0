"""What an instance admits of callers, and which statuses it answers with."""
