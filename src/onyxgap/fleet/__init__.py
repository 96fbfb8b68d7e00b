"""Pipeline that reconciles the fleet with the manifest."""
