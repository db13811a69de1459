"""Pure decisions of a node under load: admission, back-end limits, queues, tenants' shares."""
