"""Why a finished query went as it did: recorded where it ran, looked up from any node."""
