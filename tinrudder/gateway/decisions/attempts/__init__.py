"""Rules on second calls and retries, on their budget, and on when an answer leaves."""
