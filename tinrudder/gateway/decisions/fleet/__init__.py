"""Rules on what gateways settle together: news of queues, zones that are cut off, own pauses."""
