"""Pure decision logic under load: admission, back-end limits, fair queues, tenant caps."""
