"""Rules on hedges and retries, their budget, and the time at which an answer is sent."""
