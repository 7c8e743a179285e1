"""Controllers of the configuration: revisions and the host list."""
