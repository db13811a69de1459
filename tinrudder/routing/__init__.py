"""Pure routing decisions: replica choice, limits, queues, hedging, budgets."""
