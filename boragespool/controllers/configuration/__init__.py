"""Controllers that distribute configuration revisions and the host list."""
